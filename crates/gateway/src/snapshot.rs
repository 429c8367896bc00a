//! State that a router fetches from another one while it can't reach the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use relay::Configuration;
use relay::Naming;
use relay::ServerEntry;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::connection::begin;
use crate::connection::describe;
use crate::context::Context;
use crate::process_event::failed;
use crate::process_event::Step;

/// Timeout of a call to another router.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest snapshot, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// Interval at which this router checks whether it needs a snapshot.
const LOOK: Duration = Duration::from_millis(200);

/// Time for which another router must have had a newer configuration before its
/// snapshot is fetched, in milliseconds: the store usually delivers it sooner.
const AHEAD_MS: u64 = 400;

/// Time for which the store must be unreachable before a snapshot is fetched, in milliseconds.
const AWAY_MS: u64 = 1_000;

/// Shortest time between two fetches, in milliseconds.
const PAUSE_MS: u64 = 800;

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
    /// Registrations of backend servers.
    pub servers: Vec<ServerEntry>,
    /// Time since the store last responded to that router, in milliseconds.
    pub age_ms: u64,
}

/// Returns the registrations of backend servers as JSON.
pub fn servers(cx: &Context) -> Vec<u8> {
    let belief = cx.belief.borrow();
    let servers = belief.fleet.registered().map(|server| &server.entry);
    to_json(&servers.collect::<Vec<_>>())
}

/// Fetches the registrations of backend servers from another router.
pub async fn fetch_servers(peer: SocketAddr) -> Result<Vec<ServerEntry>, SnapshotError> {
    fetch(peer, "/servers").await
}

fn to_json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes,
        Err(e) => {
            failed(Step::Snapshot, &e);
            Vec::new()
        }
    }
}

/// Returns this router's snapshot as JSON.
pub fn snapshot(cx: &Context) -> Vec<u8> {
    let belief = cx.belief.borrow();
    let servers = belief.fleet.registered().map(|server| server.entry.clone());
    let named = belief.weights.all();
    let snapshot = Snapshot {
        configuration: belief.configuration.as_deref().cloned(),
        named: named.map(|(m, v)| (m.to_string(), v)).collect(),
        servers: servers.collect(),
        age_ms: now().millis_since(belief.store_heard_at),
    };
    to_json(&snapshot)
}

/// Fetches another router's snapshot whenever this one lacks a configuration that
/// others have, or the store is unreachable.
pub async fn run(cx: Rc<Context>) {
    let mut taken_at = now();
    loop {
        sleep(LOOK).await;
        let Some(peer) = source(&cx, now().millis_since(taken_at) >= PAUSE_MS) else {
            continue;
        };
        taken_at = now();
        match fetch::<Snapshot>(peer, "/snapshot").await {
            Ok(snapshot) => take_in(&cx, snapshot),
            Err(e) => failed(Step::SnapshotFetch, &e),
        }
    }
}

fn source(cx: &Context, rested: bool) -> Option<SocketAddr> {
    let (version, away) = {
        let belief = cx.belief.borrow();
        let version = belief.configuration.as_ref().map_or(0, |c| c.version);
        let away = now().millis_since(belief.store_heard_at) > AWAY_MS && belief.store_failing;
        (version, away)
    };
    if cx.peers.is_behind(version, AHEAD_MS) && rested {
        return cx.peers.ahead(version);
    }
    if !(away && rested) {
        return None;
    }
    let peer = cx.peers.any_live(now().0);
    peer.or_else(|| bootstrap(cx, version))
}

/// Returns one of the seeds, in turn over time, while no configuration is known.
fn bootstrap(cx: &Context, version: u64) -> Option<SocketAddr> {
    let seeds = cx.seeds.borrow();
    let at = usize::try_from(now().as_millis()).unwrap_or(0);
    (version == 0 && !seeds.is_empty()).then(|| seeds[at % seeds.len()])
}

fn take_in(cx: &Context, snapshot: Snapshot) {
    if let Some(mut configuration) = snapshot.configuration {
        configuration.build_index();
        cx.adopt_configuration(configuration, "peer");
    }
    for (model, version) in snapshot.named {
        cx.adopt_weights(&model, version, Naming::Earlier, "peer");
    }
    let own_age_ms = now().millis_since(cx.belief.borrow().store_heard_at);
    if snapshot.age_ms < own_age_ms && !snapshot.servers.is_empty() {
        cx.replace_servers(snapshot.servers, "peer");
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
    let begun = begin(peer, stream).await;
    let (mut sender, task) = begun.map_err(|e| describe(&e))?;
    let req = Request::builder()
        .uri(path)
        .header(http::header::HOST, peer.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let answer = sender.send_request(req).await.map_err(|e| describe(&e))?;
    let body = Limited::new(answer.into_body(), MAX_BYTES).collect().await;
    task.abort();
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
