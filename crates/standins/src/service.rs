//! Stand-in for a plain service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backend::wire::REFUSED_HEADER;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use platform::Member;
use platform::MembershipList;
use platform::Role;
use serde::Serialize;
use tokio::time::sleep;

use crate::http_server::Body;
use crate::http_server::Disconnect;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::json_body::read_body;
use crate::json_body::response;
use crate::json_body::text_response;
use crate::Announcer;

/// Request header with the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Incarnation of the service, which keeps no state that depends on it.
const FIRST_INCARNATION: u64 = 1;

/// A call that the stand-in executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRecord {
    /// HTTP method.
    pub method: String,
    /// Path with the query string.
    pub path: String,
    /// Idempotency key; the stand-in itself ignores it.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// Identity of the plain-service stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name of its VM.
    pub name: String,
    /// Region of its VM.
    pub region: String,
    /// Failure domain of its VM.
    pub failure_domain: String,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            name: "service-1".to_owned(),
            region: "west".to_owned(),
            failure_domain: "west-1".to_owned(),
        }
    }
}

/// A plain service: `GET` is a lookup, any other method adds an entry and is not idempotent.
///
/// Dropping it stops it.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    shared: Arc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    ledger: Vec<ServiceRecord>,
    entries: u64,
    /// Number of calls still to be executed without a response.
    calls_to_disconnect: u32,
    delay_ms: u64,
    leaving: bool,
}

/// Response to a call.
#[derive(Debug, Serialize)]
struct CallResponse {
    path: String,
    /// Number of entries added so far, including that of this call.
    entries: u64,
}

impl Service {
    /// Starts a service on `address`; port 0 selects any free port.
    pub async fn start(address: SocketAddr, settings: ServiceSettings) -> io::Result<Service> {
        let shared = Arc::new(Shared::default());
        let handler = ServiceHandler {
            shared: Arc::clone(&shared),
        };
        let server = HttpServer::start(address, handler).await?;
        Ok(Service {
            settings,
            shared,
            server,
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Executes the next `calls` calls but closes their connections without a response.
    pub fn disconnect_after_running(&self, calls: u32) {
        self.shared.state().calls_to_disconnect = calls;
    }

    /// Sets the delay before each call is executed, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.state().delay_ms = delay_ms;
    }

    /// Starts a graceful shutdown: all new calls are refused before they are executed.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Announces the service to a membership list until the result is dropped.
    pub fn announce(&self, list: Arc<dyn MembershipList>) -> Announcer {
        let shared = Arc::clone(&self.shared);
        let member = Member {
            name: self.settings.name.clone(),
            role: Role::BackendServer,
            address: self.address(),
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: FIRST_INCARNATION,
            leaving: false,
        };
        Announcer::start(list, move || {
            Some(Member {
                leaving: shared.state().leaving,
                ..member.clone()
            })
        })
    }

    /// Returns the records of all calls that were executed.
    pub fn ledger(&self) -> Vec<ServiceRecord> {
        self.shared.state().ledger.clone()
    }

    /// Breaks all connections and returns once the port is free again.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
struct ServiceHandler {
    shared: Arc<Shared>,
}

type HandlerResult = Result<Response<Body>, Disconnect>;

impl Handler for ServiceHandler {
    fn handle(&self, req: Request<Incoming>) -> BoxFuture<'static, HandlerResult> {
        let shared = Arc::clone(&self.shared);
        async move {
            if shared.state().leaving {
                return Ok(refusal_response());
            }
            let record = read_record(req).await?;
            let delay_ms = shared.state().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            execute(&shared, record)
        }
        .boxed()
    }
}

async fn read_record(req: Request<Incoming>) -> Result<ServiceRecord, Disconnect> {
    let method = req.method().to_string();
    let path = req.uri().to_string();
    let key = req.headers().get(IDEMPOTENCY_KEY_HEADER);
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let body = read_body(req).await?;
    Ok(ServiceRecord {
        method,
        path,
        key,
        body,
    })
}

/// Records a call and returns its response, or closes the connection.
fn execute(shared: &Shared, record: ServiceRecord) -> HandlerResult {
    let mut state = shared.state();
    let is_write = record.method != Method::GET.as_str();
    state.entries += u64::from(is_write);
    let message = CallResponse {
        path: record.path.clone(),
        entries: state.entries,
    };
    state.ledger.push(record);
    if state.calls_to_disconnect > 0 {
        state.calls_to_disconnect -= 1;
        return Err(Disconnect);
    }
    let status = match is_write {
        true => StatusCode::CREATED,
        false => StatusCode::OK,
    };
    match serde_json::to_vec(&message) {
        Ok(body) => Ok(response(status, "application/json", Bytes::from(body))),
        Err(_) => Err(Disconnect),
    }
}

fn refusal_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let reason = HeaderValue::from_static("leaving");
    response.headers_mut().insert(REFUSED_HEADER, reason);
    response
}
