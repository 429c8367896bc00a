//! Answers callers' requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use gateway::whole;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use policy::CallId;
use policy::Outcome;
use tokio::sync::watch;
use tokio::time::Instant;
use uuid::Uuid;

use crate::body;
use crate::call_headers::IDEMPOTENCY_KEY;
use crate::AnswerBody;
use crate::EventIds;
use crate::ExternalServices;
use crate::Limits;
use crate::Metrics;
use crate::NodeHandle;
use crate::Problem;
use crate::Rejection;
use crate::RouterState;
use crate::Shape;
use crate::Tasks;

const METRICS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const SERVICES: &str = "/services/";

/// Prefix of the paths that explain where a completion would go.
pub(crate) const EXPLAIN: &str = "/explain";

/// Answers callers' requests.
pub struct Handler {
    /// Way to the node.
    pub node: NodeHandle,
    /// Ways to backend servers.
    pub outside: ExternalServices,
    /// Maker of event ids.
    pub event_ids: Arc<EventIds>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// State of the router.
    pub state: watch::Receiver<RouterState>,
    /// Tasks of calls.
    pub tasks: Tasks,
    /// Limits.
    pub limits: Limits,
    /// Key of the last call.
    pub last_call: AtomicU64,
}

impl Handler {
    /// Answers a request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let outcome = outcome_of_rejection(req.headers());
        let mut res = match self.route(req).await {
            Ok(res) => res,
            Err(rejection) => self.reject(&rejection, outcome),
        };
        if self.state.borrow().leaving {
            res.headers_mut().insert(CONNECTION, CLOSE);
        }
        res
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Response<AnswerBody>, Rejection> {
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        match path {
            "/healthz" => allow(&head, Method::GET, "GET").map(|()| text(StatusCode::OK, "ok\n")),
            "/readyz" => allow(&head, Method::GET, "GET").map(|()| self.ready()),
            "/metrics" => allow(&head, Method::GET, "GET").map(|()| self.metrics_text()),
            "/v1/completions" => self.complete(Shape::Completion, head, body).await,
            "/v1/chat/completions" => self.complete(Shape::Chat, head, body).await,
            "/explain/v1/completions" => self.explain(Shape::Completion, head, body).await,
            "/explain/v1/chat/completions" => self.explain(Shape::Chat, head, body).await,
            path if path.starts_with(SERVICES) => self.call_service(head, body).await,
            path => Err(Rejection::NotFound {
                path: path.to_owned(),
            }),
        }
    }

    /// Returns a key for a new call.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Reads a body within the limits.
    pub(crate) async fn read_body(&self, body: Incoming) -> Result<Bytes, Rejection> {
        let configured = self
            .state
            .borrow()
            .config
            .as_ref()
            .map_or(u64::MAX, |config| config.limits.body_bytes);
        let limit = self.limits.body_bytes.min(configured);
        let deadline = Instant::now() + self.limits.body_timeout();
        body::read(body, limit, deadline).await
    }

    fn reject(&self, rejection: &Rejection, outcome: Outcome) -> Response<AnswerBody> {
        self.metrics.on_refusal(rejection.reason(), outcome.name());
        log::info!(
            "event=rejected reason={} detail={:?}",
            rejection.reason(),
            rejection.to_string()
        );
        let mut res = Problem::of_rejection(rejection, outcome).response();
        if rejection.leaves_body_unread() {
            res.headers_mut().insert(CONNECTION, CLOSE);
        }
        res
    }

    fn ready(&self) -> Response<AnswerBody> {
        if self.state.borrow().is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn metrics_text(&self) -> Response<AnswerBody> {
        let mut res = Response::new(whole(self.metrics.text()));
        res.headers_mut().insert(CONTENT_TYPE, METRICS_TEXT);
        res
    }
}

/// Returns what is known of a request that is rejected before the node sees it.
///
/// An earlier request with the same idempotency key may have run.
fn outcome_of_rejection(headers: &HeaderMap) -> Outcome {
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    match key.map(Uuid::parse_str) {
        Some(Ok(_)) => Outcome::Unknown,
        Some(Err(_)) | None => Outcome::NotRun,
    }
}

/// Rejects a request of another method.
pub(crate) fn allow(head: &Parts, method: Method, expected: &'static str) -> Result<(), Rejection> {
    if head.method == method {
        return Ok(());
    }
    Err(Rejection::MethodNotAllowed {
        path: head.uri.path().to_owned(),
        expected,
    })
}

fn text(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut res = Response::new(whole(text));
    *res.status_mut() = status;
    res
}
