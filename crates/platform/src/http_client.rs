//! One JSON call to the platform over HTTP.

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

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which an answer must come, beside the time that a watch may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What is lost when the answer doesn't come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The call reads only.
    Read,
    /// The call may have taken effect.
    Write,
}

/// A pooled client of one platform address.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A call with what its errors name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    /// Name of the step.
    pub name: &'static str,
    /// Path to which it is posted.
    pub path: &'static str,
    /// What is lost when the answer doesn't come.
    pub effect: Effect,
    /// Time that the platform may wait before it answers, in milliseconds.
    pub wait_ms: u64,
}

impl HttpClient {
    /// Creates a client that connects when first used.
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

    /// Posts `message` and returns the answer.
    pub(crate) async fn call<M, A>(&self, step: Step, message: M) -> Result<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let req = self.request(step, &message)?;
        let wait = ANSWER_TIMEOUT + Duration::from_millis(step.wait_ms);
        let body = match timeout(wait, self.exchange(step, req)).await {
            Ok(body) => body?,
            Err(_) => return Err(self.lost(step, "timeout")),
        };
        serde_json::from_slice(&body).map_err(|e| self.bad_answer(step, e))
    }

    /// Returns the error for an answer that doesn't have the named form.
    pub(crate) fn bad_answer<E>(&self, step: Step, reason: E) -> Error
    where
        E: ToString,
    {
        Error::InvalidResponse {
            step: step.name,
            peer: self.address.to_string(),
            reason: reason.to_string(),
        }
    }

    fn request<M>(&self, step: Step, message: &M) -> Result<Request<Full<Bytes>>>
    where
        M: Serialize,
    {
        let body = serde_json::to_vec(message).map_err(|e| self.bad_answer(step, e))?;
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, step.path))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| self.bad_answer(step, e))
    }

    async fn exchange(&self, step: Step, req: Request<Full<Bytes>>) -> Result<Bytes> {
        let answer = match self.client.request(req).await {
            Ok(answer) => answer,
            Err(e) => return Err(self.failed(step, &e)),
        };
        self.check_status(step, &answer)?;
        match answer.into_body().collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) => Err(self.lost(step, e)),
        }
    }

    fn check_status(&self, step: Step, answer: &Response<Incoming>) -> Result<()> {
        if answer.status().is_success() {
            return Ok(());
        }
        Err(Error::Refused {
            step: step.name,
            peer: self.address.to_string(),
            status: answer.status().as_u16(),
        })
    }

    fn failed(&self, step: Step, e: &ClientError) -> Error {
        if e.is_connect() {
            return self.unreached(step, e);
        }
        self.lost(step, e)
    }

    fn lost<E>(&self, step: Step, reason: E) -> Error
    where
        E: ToString,
    {
        match step.effect {
            Effect::Read => self.unreached(step, reason),
            Effect::Write => Error::ResponseLost {
                step: step.name,
                peer: self.address.to_string(),
                reason: reason.to_string(),
            },
        }
    }

    fn unreached<E>(&self, step: Step, reason: E) -> Error
    where
        E: ToString,
    {
        Error::Unreachable {
            step: step.name,
            peer: self.address.to_string(),
            reason: reason.to_string(),
        }
    }
}
