//! HTTP client of one router.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::error::RouterSnafu;
use crate::Error;
use crate::Result;

/// Time limit for a response of the router.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client of one router.
pub(crate) struct RouterClient {
    router: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl RouterClient {
    /// Creates a client that connects to the router on first use.
    pub(crate) fn new(router: SocketAddr) -> RouterClient {
        RouterClient {
            router,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Fetches `path` and returns the parsed JSON response.
    pub(crate) async fn get<A>(&self, path: &str) -> Result<A>
    where
        A: DeserializeOwned,
    {
        let uri = format!("http://{}{path}", self.router);
        let req = Request::get(uri).body(Full::default());
        self.call(req.map_err(|e| self.error(e))?).await
    }

    /// Posts `body` to `path` and returns the parsed JSON response.
    pub(crate) async fn post<A>(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<A>
    where
        A: DeserializeOwned,
    {
        let uri = format!("http://{}{path}", self.router);
        let mut req = Request::post(uri);
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| self.error(e))?;
        self.call(req).await
    }

    async fn call<A>(&self, req: Request<Full<Bytes>>) -> Result<A>
    where
        A: DeserializeOwned,
    {
        match timeout(RESPONSE_TIMEOUT, self.send(req)).await {
            Ok(response) => response,
            Err(_) => Err(self.error("no response in time")),
        }
    }

    /// Sends a request and parses the response; any status but 200 is an error.
    async fn send<A>(&self, req: Request<Full<Bytes>>) -> Result<A>
    where
        A: DeserializeOwned,
    {
        let res = self.client.request(req).await.map_err(|e| self.error(e))?;
        let status = res.status();
        let body = res.into_body().collect().await;
        let body = body.map_err(|e| self.error(e))?.to_bytes();
        if status != StatusCode::OK {
            return Err(self.error(String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice(&body).map_err(|e| self.error(e))
    }

    fn error<E>(&self, reason: E) -> Error
    where
        E: ToString,
    {
        RouterSnafu {
            step: "query",
            router: self.router,
            reason: reason.to_string(),
        }
        .build()
    }
}
