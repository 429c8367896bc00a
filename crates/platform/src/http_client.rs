//! HTTP client for JSON calls to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error as ClientError;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::timeout;

use crate::Error;
use crate::Result;

/// Limit on establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on a whole call, in addition to the wait time of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether a call can change state on the platform, which decides the error for a
/// missing response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// The call changes nothing; without a response its error is `Unreachable`.
    Read,
    /// The call may have taken effect without a response; its error is `ResponseLost`.
    Write,
}

/// HTTP client with a connection pool for one platform address.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Properties of one kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallSpec {
    /// Name of the call in errors.
    pub name: &'static str,
    /// Path to which the request is posted.
    pub path: &'static str,
    /// Whether the call reads or writes.
    pub access: Access,
    /// Time that the platform may hold a long poll before it responds, in milliseconds.
    pub wait_ms: u64,
}

impl HttpClient {
    /// Creates a client; connections are opened on demand.
    pub(crate) fn new(address: SocketAddr) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        HttpClient { address, client }
    }

    /// Posts `message` as JSON and returns the decoded response.
    pub(crate) async fn call<M, R>(&self, spec: CallSpec, message: M) -> Result<R>
    where
        M: Serialize,
        R: DeserializeOwned,
    {
        let req = self.request(spec, &message)?;
        let limit = RESPONSE_TIMEOUT + Duration::from_millis(spec.wait_ms);
        let body = match timeout(limit, self.exchange(spec, req)).await {
            Ok(body) => body?,
            Err(_) => return Err(self.lost_response(spec, "timeout")),
        };
        serde_json::from_slice(&body).map_err(|e| self.invalid_response(spec, e))
    }

    /// Returns the error for a response that does not follow the protocol.
    pub(crate) fn invalid_response<E>(&self, spec: CallSpec, reason: E) -> Error
    where
        E: ToString,
    {
        Error::InvalidResponse {
            step: spec.name,
            peer: self.address.to_string(),
            reason: reason.to_string(),
        }
    }

    fn request<M>(&self, spec: CallSpec, message: &M) -> Result<Request<Full<Bytes>>>
    where
        M: Serialize,
    {
        let body = serde_json::to_vec(message).map_err(|e| self.invalid_response(spec, e))?;
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, spec.path))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| self.invalid_response(spec, e))
    }

    async fn exchange(&self, spec: CallSpec, req: Request<Full<Bytes>>) -> Result<Bytes> {
        let response = match self.client.request(req).await {
            Ok(response) => response,
            Err(e) => return Err(self.transport_error(spec, &e)),
        };
        self.check_status(spec, &response)?;
        match response.into_body().collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) => Err(self.lost_response(spec, e)),
        }
    }

    fn check_status(&self, spec: CallSpec, response: &Response<Incoming>) -> Result<()> {
        if response.status().is_success() {
            return Ok(());
        }
        Err(Error::Refused {
            step: spec.name,
            peer: self.address.to_string(),
            status: response.status().as_u16(),
        })
    }

    fn transport_error(&self, spec: CallSpec, e: &ClientError) -> Error {
        if e.is_connect() {
            return self.unreachable(spec, e);
        }
        self.lost_response(spec, e)
    }

    fn lost_response<E>(&self, spec: CallSpec, reason: E) -> Error
    where
        E: ToString,
    {
        match spec.access {
            Access::Read => self.unreachable(spec, reason),
            Access::Write => Error::ResponseLost {
                step: spec.name,
                peer: self.address.to_string(),
                reason: reason.to_string(),
            },
        }
    }

    fn unreachable<E>(&self, spec: CallSpec, reason: E) -> Error
    where
        E: ToString,
    {
        Error::Unreachable {
            step: spec.name,
            peer: self.address.to_string(),
            reason: reason.to_string(),
        }
    }
}
