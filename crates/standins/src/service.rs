//! The plain-service stand-in.

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
use crate::http_server::Handler;
use crate::http_server::Hangup;
use crate::http_server::HttpServer;
use crate::json_body::answer;
use crate::json_body::read_body;
use crate::json_body::text;
use crate::Announcer;

/// Header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Incarnation of a service, which keeps no state that depends on it.
const FIRST_INCARNATION: u64 = 1;

/// A call that the stand-in really ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRecord {
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Idempotency key, which the stand-in itself doesn't heed.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Settings of the plain-service stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name of its VM.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
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

/// A plain service: lookups by `GET`, all else is an entry that must not be repeated.
///
/// It is stopped when dropped.
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
    dying_calls: u32,
    delay_ms: u64,
    leaving: bool,
}

/// Answer to a call.
#[derive(Debug, Serialize)]
struct CallResponse {
    path: String,
    /// Number of entries made so far, the new one included.
    entries: u64,
}

impl Service {
    /// Starts a service on `address`, where port 0 takes any free port.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Lets the next `calls` calls run and breaks their connections before the answer.
    pub fn disconnect_after_running(&self, calls: u32) {
        self.shared.state().dying_calls = calls;
    }

    /// Sets the time that a call takes.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.state().delay_ms = delay_ms;
    }

    /// Makes it refuse all calls before they run.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Keeps it on the membership list.
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

    /// Returns what it really ran.
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

type Answered = Result<Response<Body>, Hangup>;

impl Handler for ServiceHandler {
    fn handle(&self, req: Request<Incoming>) -> BoxFuture<'static, Answered> {
        let shared = Arc::clone(&self.shared);
        async move {
            if shared.state().leaving {
                return Ok(refused());
            }
            let record = read_record(req).await?;
            let delay_ms = shared.state().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            run(&shared, record)
        }
        .boxed()
    }
}

async fn read_record(req: Request<Incoming>) -> Result<ServiceRecord, Hangup> {
    let method = req.method().to_string();
    let path = req.uri().to_string();
    let key = req.headers().get(KEY_HEADER);
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let body = read_body(req).await?;
    Ok(ServiceRecord {
        method,
        path,
        key,
        body,
    })
}

fn run(shared: &Shared, record: ServiceRecord) -> Answered {
    let mut state = shared.state();
    let is_entry = record.method != Method::GET.as_str();
    state.entries += u64::from(is_entry);
    let message = CallResponse {
        path: record.path.clone(),
        entries: state.entries,
    };
    state.ledger.push(record);
    if state.dying_calls > 0 {
        state.dying_calls -= 1;
        return Err(Hangup);
    }
    let status = match is_entry {
        true => StatusCode::CREATED,
        false => StatusCode::OK,
    };
    match serde_json::to_vec(&message) {
        Ok(body) => Ok(answer(status, "application/json", Bytes::from(body))),
        Err(_) => Err(Hangup),
    }
}

fn refused() -> Response<Body> {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let reason = HeaderValue::from_static("leaving");
    answer.headers_mut().insert(REFUSED_HEADER, reason);
    answer
}
