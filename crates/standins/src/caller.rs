//! HTTP client that calls routers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

use crate::CallerError;
use crate::Received;
use crate::TokenEvents;

/// Request header with the time that the caller allows for the call, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Request header with the name of the priority class.
const PRIORITY_HEADER: &str = "x-priority";

/// Request header with the idempotency key of a service call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Request header with the id of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Response header that marks a stored response of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// HTTP client for one router, with the token of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    router: SocketAddr,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Parameters of a streamed completion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Name of the priority class; `None` for the default.
    pub priority: Option<String>,
    /// Time that the caller allows for the call, in milliseconds; `None` for the default.
    pub deadline_ms: Option<u64>,
    /// Id of the last event received, to resume a stream; `None` for a new completion.
    pub last_event_id: Option<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path below `/services/`, beginning with the name of the service.
    pub path: String,
    /// Idempotency key, sent as a header if present.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// Response to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the router returned the stored response of an earlier attempt.
    pub replayed: bool,
    /// Response body.
    pub body: Bytes,
}

/// JSON body of a completion request.
#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

impl Caller {
    /// Creates a client; it connects on the first call.
    pub fn new(router: SocketAddr, token: &str) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Caller {
            router,
            token: token.to_owned(),
            client,
        }
    }

    /// Starts a streamed completion and returns its events.
    ///
    /// A response with an error status becomes [`CallerError::Refused`].
    pub async fn complete(
        &self,
        completion: &CompletionRequest,
    ) -> Result<TokenEvents, CallerError> {
        let message = CompletionBody {
            model: &completion.model,
            prompt: &completion.prompt,
            max_tokens: completion.max_tokens,
            stream: true,
        };
        let body = serde_json::to_vec(&message).map_err(CallerError::invalid_response)?;
        let mut req = self
            .request(Method::POST, "/v1/completions")
            .header(CONTENT_TYPE, "application/json");
        if let Some(priority) = &completion.priority {
            req = req.header(PRIORITY_HEADER, priority);
        }
        if let Some(deadline_ms) = completion.deadline_ms {
            req = req.header(DEADLINE_HEADER, deadline_ms);
        }
        if let Some(id) = &completion.last_event_id {
            req = req.header(LAST_EVENT_HEADER, id);
        }
        let response = self.send(req, Bytes::from(body)).await?;
        if response.status().is_success() {
            return Ok(TokenEvents::new(response.into_body()));
        }
        Err(CallerError::from_problem(&read_body(response).await?))
    }

    /// Starts a streamed completion and reads it to its end.
    pub async fn complete_and_collect(
        &self,
        completion: &CompletionRequest,
    ) -> Result<Received, CallerError> {
        let mut received = Received::default();
        let mut events = self.complete(completion).await?;
        events.read_all(&mut received).await?;
        Ok(received)
    }

    /// Calls a plain service and returns its response, whatever the status.
    ///
    /// A refusal by the router becomes [`CallerError::Refused`].
    pub async fn call(&self, call: &Call) -> Result<CallResponse, CallerError> {
        let path = format!("/services/{}", call.path);
        let mut req = self.request(call.method.clone(), &path);
        if let Some(key) = &call.key {
            req = req.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let response = self.send(req, call.body.clone()).await?;
        let status = response.status().as_u16();
        let replayed = response.headers().contains_key(REPLAYED_HEADER);
        let is_problem = is_problem(&response);
        let body = read_body(response).await?;
        if is_problem {
            return Err(CallerError::from_problem(&body));
        }
        Ok(CallResponse {
            status,
            replayed,
            body,
        })
    }

    /// Returns the body of one of the router's own pages, such as its metrics.
    pub async fn get(&self, path: &str) -> Result<String, CallerError> {
        let response = self
            .send(self.request(Method::GET, path), Bytes::new())
            .await?;
        let body = read_body(response).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.router))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn send(
        &self,
        req: http::request::Builder,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallerError> {
        let req = req
            .body(Full::new(body))
            .map_err(CallerError::invalid_response)?;
        let response = self.client.request(req).await;
        response.map_err(CallerError::transport)
    }
}

/// Returns whether the response is a refusal by the router.
fn is_problem(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    content_type.is_some_and(|value| value == "application/problem+json")
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, CallerError> {
    let body = response.into_body().collect().await;
    body.map(|body| body.to_bytes())
        .map_err(CallerError::transport)
}
