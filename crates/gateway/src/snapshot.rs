//! Snapshots of the store's contents that routers fetch from each other, when one
//! can't reach the store or lacks the newest configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use policy::Arrival;
use relay::AnnouncementUpdate;
use relay::CompletenessUpdate;
use relay::Configuration;
use relay::ReadingUpdate;
use relay::Registration;
use relay::ServerStatement;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::connection::error_chain;
use crate::connection::start_http;
use crate::context::Context;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::router_entry::RouterEntry;

/// Timeout of a call to another router. A router that fetches registrations in vain still reads
/// the store in time to stop sending to a draining server.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest snapshot, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// Interval at which this router checks whether it needs a snapshot.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the store must be unreachable before a snapshot is fetched, in milliseconds.
const STORE_UNREACHABLE_MS: u64 = 1_000;

/// Shortest time between two fetches, in milliseconds.
const MIN_FETCH_INTERVAL_MS: u64 = 800;

/// Page with all that a router knows of the store's contents.
pub const SNAPSHOT: &str = "/snapshot";

/// Page with the operators' entries that a router knows.
pub const OPERATORS: &str = "/operators";

/// Reason why a call to another router failed.
#[derive(Debug, Snafu)]
#[snafu(display("snapshot from {peer}: {reason}"))]
pub struct SnapshotError {
    peer: SocketAddr,
    reason: String,
}

/// What a router knows of the store's contents, as JSON for other routers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Configuration in force.
    pub configuration: Option<Configuration>,
    /// Newest announced version of weights, by model.
    pub named: Vec<(String, u64)>,
    /// Up to when `named` was complete, as in gossip; empty from earlier versions.
    #[serde(default)]
    pub completeness: Vec<CompletenessUpdate>,
    /// Registrations of backend servers; none if they aren't asked for, or before the router has
    /// read them.
    pub servers: Option<ServerList>,
}

impl Snapshot {
    /// Returns the operators' entries that this router knows, without registrations.
    fn of_operators(view: &ClusterView) -> Snapshot {
        let named = view.weights.newest(now());
        Snapshot {
            configuration: view.configuration.as_deref().cloned(),
            named: named.map(|newest| (newest.model, newest.version)).collect(),
            completeness: view.weights.completeness(now()),
            servers: None,
        }
    }
}

/// Registrations of backend servers, as JSON for other routers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ServerList {
    /// Up to where and when they were read from the store.
    pub reading: ReadingUpdate,
    /// The registrations.
    pub registrations: Vec<Registration>,
    /// What the servers have said of themselves in responses.
    pub statements: Vec<ServerStatement>,
}

impl ServerList {
    /// Returns the registrations that this router knows; none before it has read them.
    fn new(view: &ClusterView) -> Option<ServerList> {
        let reading = view.announced_reading()?;
        let servers = view.fleet.registered();
        let registrations = servers.map(|server| server.registration.clone());
        Some(ServerList {
            reading: ReadingUpdate::new(now(), reading),
            registrations: registrations.collect(),
            statements: view.fleet.statements(now()).collect(),
        })
    }

    /// Applies the list, which was in `response`, to what this router knows.
    pub fn apply(self, cx: &Context, response: Arrival) {
        let reading = self.reading.reading(response);
        cx.replace_registrations(self.registrations, reading, "peer");
        cx.apply_statements(response, &self.statements);
    }
}

/// Returns the registrations of backend servers as JSON.
pub fn servers_json(cx: &Context) -> Vec<u8> {
    to_json(&ServerList::new(&cx.view.borrow()))
}

/// Entries of all routers that one of them knows, as JSON for other routers.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouterList {
    /// Latest era of the store that the sender knows.
    pub era: Option<u64>,
    /// Entries of the routers, the sender included.
    pub entries: Vec<RouterEntry>,
}

/// Returns the entries of all routers that this one knows as JSON.
pub fn routers_json(cx: &Context) -> Vec<u8> {
    to_json(&RouterList {
        era: cx.view.borrow().store_era,
        entries: cx.peers.entries(),
    })
}

/// Fetches the entries of all routers that another one knows.
pub async fn fetch_routers(peer: SocketAddr) -> Result<RouterList, SnapshotError> {
    fetch(peer, "/routers").await
}

/// Fetches the registrations of backend servers from another router.
pub async fn fetch_servers(peer: SocketAddr) -> Result<ServerList, SnapshotError> {
    let list: Option<ServerList> = fetch(peer, "/servers").await?;
    list.context(SnapshotSnafu {
        peer,
        reason: "no registrations read yet",
    })
}

/// Returns a value as JSON; nothing, and a line in the log, if that fails.
pub fn to_json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes,
        Err(e) => {
            log_failure(Step::Snapshot, &e);
            Vec::new()
        }
    }
}

/// Returns this router's snapshot as JSON.
pub fn snapshot_json(cx: &Context) -> Vec<u8> {
    let view = cx.view.borrow();
    to_json(&Snapshot {
        servers: ServerList::new(&view),
        ..Snapshot::of_operators(&view)
    })
}

/// Returns the part of this router's snapshot that the operators have written, as JSON.
pub fn operators_json(cx: &Context) -> Vec<u8> {
    to_json(&Snapshot::of_operators(&cx.view.borrow()))
}

/// Fetches another router's snapshot while the store is unreachable.
pub async fn run(cx: Rc<Context>) {
    let mut fetched_at = now();
    loop {
        sleep(POLL_INTERVAL).await;
        if now().millis_since(fetched_at) < MIN_FETCH_INTERVAL_MS {
            continue;
        }
        let Some(peer) = choose_source(&cx) else {
            continue;
        };
        fetched_at = now();
        fetch_snapshot(&cx, peer, SNAPSHOT).await;
    }
}

/// Fetches the operators' entries that another router knows, and applies them.
pub async fn fetch_operators(cx: &Context, peer: SocketAddr) {
    fetch_snapshot(cx, peer, OPERATORS).await;
}

async fn fetch_snapshot(cx: &Context, peer: SocketAddr, path: &'static str) {
    let called_at = now();
    match fetch::<Snapshot>(peer, path).await {
        Ok(snapshot) => {
            apply(cx, Arrival::between(called_at, now()), snapshot);
        }
        Err(e) => log_failure(Step::SnapshotFetch, &e),
    }
}

fn choose_source(cx: &Context) -> Option<SocketAddr> {
    let (version, is_unreachable) = {
        let view = cx.view.borrow();
        let version = view.configuration.as_ref().map_or(0, |c| c.version);
        let is_unreachable = now().millis_since(view.store_responded_at) > STORE_UNREACHABLE_MS
            && view.store_failing;
        (version, is_unreachable)
    };
    if !is_unreachable {
        return None;
    }
    let peer = cx.peers.any_reachable(now().0);
    peer.or_else(|| choose_seed(cx, version))
}

/// Returns a seed, picked by the clock, while no configuration is known.
fn choose_seed(cx: &Context, version: u64) -> Option<SocketAddr> {
    let seeds = cx.seeds.borrow();
    let at = usize::try_from(now().as_millis()).unwrap_or(0);
    (version == 0 && !seeds.is_empty()).then(|| seeds[at % seeds.len()])
}

fn apply(cx: &Context, response: Arrival, snapshot: Snapshot) {
    if let Some(mut configuration) = snapshot.configuration {
        configuration.build_index();
        cx.apply_configuration(configuration, "peer");
    }
    let named = snapshot.named.into_iter();
    let named: Vec<AnnouncementUpdate> = named
        .map(|(model, version)| AnnouncementUpdate {
            model,
            version,
            age_ms: 0,
        })
        .collect();
    cx.apply_announcements(response, &named, &snapshot.completeness);
    if let Some(servers) = snapshot.servers {
        servers.apply(cx, response);
    }
}

async fn fetch<T>(peer: SocketAddr, path: &'static str) -> Result<T, SnapshotError>
where
    T: DeserializeOwned,
{
    match timeout(CALL_TIMEOUT, call(peer, path)).await {
        Ok(result) => result.map_err(|reason| SnapshotError { peer, reason }),
        Err(_) => SnapshotSnafu {
            peer,
            reason: "timeout",
        }
        .fail(),
    }
}

async fn call<T>(peer: SocketAddr, path: &'static str) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let stream = TcpStream::connect(peer).await.map_err(|e| e.to_string())?;
    let result = start_http(peer, stream).await;
    let mut connection = result.map_err(|e| error_chain(&e))?;
    connection.allowance.set(MAX_BYTES as u64);
    let req = Request::builder()
        .uri(path)
        .header(http::header::HOST, peer.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response = connection
        .sender
        .send_request(req)
        .await
        .map_err(|e| error_chain(&e))?;
    let body = Limited::new(response.into_body(), MAX_BYTES)
        .collect()
        .await;
    connection.task.abort();
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
