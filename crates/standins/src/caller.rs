//! A caller of routers.

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

/// Header with the time that a caller allows, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the priority class.
const PRIORITY_HEADER: &str = "x-priority";

/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the id of the last event that a caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Header that marks a first answer given again.
const REPEAT_HEADER: &str = "idempotent-replayed";

/// A caller of one router.
#[derive(Clone, Debug)]
pub struct Caller {
    router: SocketAddr,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A completion that a caller wants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Priority class.
    pub priority: Option<String>,
    /// Time that the caller allows, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path, with the service's name first.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Answer to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether this is the first answer given again.
    pub replayed: bool,
    /// Body.
    pub body: Bytes,
}

#[derive(Serialize)]
struct Message<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

impl Caller {
    /// Creates a caller that connects when it first calls.
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

    /// Asks for a streamed completion.
    pub async fn complete(&self, completion: &CompletionRequest) -> Result<TokenEvents, CallerError> {
        let message = Message {
            model: &completion.model,
            prompt: &completion.prompt,
            max_tokens: completion.max_tokens,
            stream: true,
        };
        let body = serde_json::to_vec(&message).map_err(CallerError::bad_answer)?;
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
        let answer = self.send(req, Bytes::from(body)).await?;
        if answer.status().is_success() {
            return Ok(TokenEvents::new(answer.into_body()));
        }
        Err(CallerError::refused(&read(answer).await?))
    }

    /// Reads a whole streamed completion.
    pub async fn complete_and_collect(&self, completion: &CompletionRequest) -> Result<Received, CallerError> {
        let mut received = Received::default();
        let mut events = self.complete(completion).await?;
        events.read_all(&mut received).await?;
        Ok(received)
    }

    /// Calls a plain service.
    pub async fn call(&self, call: &Call) -> Result<CallResponse, CallerError> {
        let path = format!("/services/{}", call.path);
        let mut req = self.request(call.method.clone(), &path);
        if let Some(key) = &call.key {
            req = req.header(KEY_HEADER, key);
        }
        let answer = self.send(req, call.body.clone()).await?;
        let status = answer.status().as_u16();
        let replayed = answer.headers().contains_key(REPEAT_HEADER);
        let is_problem = is_problem(&answer);
        let body = read(answer).await?;
        if is_problem {
            return Err(CallerError::refused(&body));
        }
        Ok(CallResponse {
            status,
            replayed,
            body,
        })
    }

    /// Reads a page of the router itself, such as its metrics.
    pub async fn get(&self, path: &str) -> Result<String, CallerError> {
        let answer = self
            .send(self.request(Method::GET, path), Bytes::new())
            .await?;
        let body = read(answer).await?;
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
        let req = req.body(Full::new(body)).map_err(CallerError::bad_answer)?;
        let answer = self.client.request(req).await;
        answer.map_err(CallerError::transport)
    }
}

fn is_problem(answer: &Response<Incoming>) -> bool {
    let content_type = answer.headers().get(CONTENT_TYPE);
    content_type.is_some_and(|value| value == "application/problem+json")
}

async fn read(answer: Response<Incoming>) -> Result<Bytes, CallerError> {
    let body = answer.into_body().collect().await;
    body.map(|body| body.to_bytes())
        .map_err(CallerError::transport)
}
