//! Routes callers' HTTP requests and responds to them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use gateway::head_bytes;
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
use crate::body::full_body;
use crate::body::BodyLimits;
use crate::call_headers::IDEMPOTENCY_KEY;
use crate::open_connection::OpenConnection;
use crate::request_hold::RequestHold;
use crate::CompletionApi;
use crate::EventIdCodec;
use crate::ExternalServices;
use crate::Limits;
use crate::Metrics;
use crate::NodeHandle;
use crate::Problem;
use crate::Rejection;
use crate::ResponseBody;
use crate::RouterState;
use crate::Tasks;

const METRICS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const SERVICES_PREFIX: &str = "/services/";

/// Path prefix of requests to explain where a completion would go.
pub(crate) const EXPLAIN_PREFIX: &str = "/explain";

/// The body of a request that is not read yet.
pub(crate) struct RequestBody<'a> {
    incoming: Incoming,
    connection: &'a OpenConnection,
}

/// The body of a request, and what the request takes of the memory.
pub(crate) struct ReadRequest {
    pub body: Bytes,
    pub hold: Arc<RequestHold>,
}

/// Responds to callers' HTTP requests.
pub struct Handler {
    /// Handle of the node's actor.
    pub node: NodeHandle,
    /// Clients of external services; the handler uses those of engines and plain services.
    pub external_services: ExternalServices,
    /// Encodes and decodes event ids.
    pub event_ids: Arc<EventIdCodec>,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
    /// Shared state of the router.
    pub state: watch::Receiver<RouterState>,
    /// Group in which the tasks of calls are spawned.
    pub tasks: Tasks,
    /// Limits on connections, bodies and times.
    pub limits: Limits,
    /// Id of the last call that was created.
    pub last_call_id: AtomicU64,
}

impl Handler {
    /// Returns the response to a request on a connection. While the router is leaving, the response has
    /// the header `Connection: close`.
    pub async fn respond(
        &self,
        req: Request<Incoming>,
        connection: &OpenConnection,
    ) -> Response<ResponseBody> {
        let (head, incoming) = req.into_parts();
        let outcome = outcome_of_rejection(&head.headers);
        connection.begin_request(head_bytes(&head));
        let body = RequestBody {
            incoming,
            connection,
        };
        let mut res = tokio::select! {
            res = self.handle(head, body, outcome) => {
                connection.begin_response();
                res
            }
            () = connection.closing() => self.refuse_evicted(connection, outcome),
        };
        if self.state.borrow().leaving {
            res.headers_mut().insert(CONNECTION, CLOSE);
        }
        res
    }

    async fn handle(
        &self,
        head: Parts,
        body: RequestBody<'_>,
        outcome: Outcome,
    ) -> Response<ResponseBody> {
        match self.route(head, body).await {
            Ok(res) => res,
            Err(rejection) => self.reject(&rejection, outcome),
        }
    }

    /// Refuses a request whose connection is evicted; `outcome` is that of a request which did not run.
    fn refuse_evicted(
        &self,
        connection: &OpenConnection,
        outcome: Outcome,
    ) -> Response<ResponseBody> {
        let outcome = match connection.has_unread_request() {
            true => outcome,
            false => Outcome::Unknown,
        };
        self.reject(&Rejection::NoMemory, outcome)
    }

    async fn route(
        &self,
        head: Parts,
        body: RequestBody<'_>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let path = head.uri.path();
        match path {
            "/healthz" => {
                require_method(&head, Method::GET, "GET").map(|()| text(StatusCode::OK, "ok\n"))
            }
            "/readyz" => require_method(&head, Method::GET, "GET").map(|()| self.ready()),
            "/metrics" => require_method(&head, Method::GET, "GET").map(|()| self.metrics_text()),
            "/v1/completions" => self.complete(CompletionApi::Completion, head, body).await,
            "/v1/chat/completions" => self.complete(CompletionApi::Chat, head, body).await,
            "/explain/v1/completions" => self.explain(CompletionApi::Completion, head, body).await,
            "/explain/v1/chat/completions" => self.explain(CompletionApi::Chat, head, body).await,
            path if path.starts_with(SERVICES_PREFIX) => self.call_service(head, body).await,
            path => Err(Rejection::NotFound {
                path: path.to_owned(),
            }),
        }
    }

    /// Returns a new call id, unique in this process.
    pub(crate) fn next_call_id(&self) -> CallId {
        CallId(self.last_call_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Reads a body within its timeout, takes the memory of its request, and records that this is served
    /// from now on. The maximum size is the smaller one of the process's limit and the configuration's.
    pub(crate) async fn read_body(&self, body: RequestBody<'_>) -> Result<ReadRequest, Rejection> {
        let configured = self
            .state
            .borrow()
            .config
            .as_ref()
            .map_or(u64::MAX, |config| config.limits.body_bytes);
        let limits = BodyLimits {
            bytes: self.limits.max_body_bytes().min(configured),
            deadline: Instant::now() + self.limits.body_timeout(),
        };
        let connection = body.connection;
        let hold = connection.hold_request()?;
        let body = body::read(body.incoming, limits, connection, &hold).await?;
        connection.begin_running()?;
        Ok(ReadRequest { body, hold })
    }

    fn reject(&self, rejection: &Rejection, outcome: Outcome) -> Response<ResponseBody> {
        self.metrics.on_refusal(rejection.reason(), outcome.name());
        log::info!(
            "event=rejected reason={} detail={:?}",
            rejection.reason(),
            rejection.to_string()
        );
        let mut res = Problem::from_rejection(rejection, outcome).response();
        if rejection.leaves_body_unread() {
            res.headers_mut().insert(CONNECTION, CLOSE);
        }
        res
    }

    fn ready(&self) -> Response<ResponseBody> {
        if self.state.borrow().is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn metrics_text(&self) -> Response<ResponseBody> {
        let mut res = Response::new(full_body(self.metrics.text()));
        res.headers_mut().insert(CONTENT_TYPE, METRICS_TEXT);
        res
    }
}

/// Returns the outcome to report for a request that is rejected before the node sees it.
///
/// If the idempotency key is a UUID, the outcome is unknown, because an earlier request with the
/// same key may have run.
fn outcome_of_rejection(headers: &HeaderMap) -> Outcome {
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    match key.map(Uuid::parse_str) {
        Some(Ok(_)) => Outcome::Unknown,
        Some(Err(_)) | None => Outcome::NotRun,
    }
}

/// Rejects a request whose method is not `method`; `expected` names that method in the rejection.
pub(crate) fn require_method(
    head: &Parts,
    method: Method,
    expected: &'static str,
) -> Result<(), Rejection> {
    if head.method == method {
        return Ok(());
    }
    Err(Rejection::MethodNotAllowed {
        path: head.uri.path().to_owned(),
        expected,
    })
}

fn text(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(text));
    *res.status_mut() = status;
    res
}
