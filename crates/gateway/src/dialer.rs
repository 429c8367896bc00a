//! Connects to backend servers, itself or through another router.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use relay::Path;
use relay::ServerKey;
use snafu::OptionExt;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock::now;
use crate::connection::error_chain;
use crate::connection::establish;
use crate::connection::start_http;
use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::context::Context;
use crate::dialed::ConnectionPath;
use crate::dialed::Dialed;
use crate::liveness::Liveness;
use crate::log_event::LogEvent;
use crate::reach_event::ReachEvent;
use crate::tunnel;
use crate::tunnel::PEER_CONNECT_TIMEOUT;
use crate::tunnel_error::RefusedSnafu;
use crate::tunnel_error::ServerSnafu;
use crate::tunnel_error::TunnelError;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Most routers that are asked for one connection if this router is known to be cut off.
const MAX_ASKED: usize = 4;

/// Most of them that may fail to connect to the server themselves.
const MAX_FAILED: usize = 2;

/// Reason of a connection that isn't opened, as its server has gone.
const UNREGISTERED: &str = "server is no longer registered";

/// Connects to a backend server: itself, or through another router if that reaches the server and
/// this one doesn't.
pub async fn dial(
    cx: &Context,
    key: ServerKey,
    address: SocketAddr,
) -> Result<Dialed, ConnectError> {
    if path(cx, key) == Path::ThroughRouter {
        return dial_through_router(cx, key, address, MAX_ASKED).await;
    }
    let connected = establish(
        address,
        cx.connector.connect(address),
        CONNECT_TIMEOUT,
        Liveness::PATIENT,
    );
    match connected.await {
        Ok(connection) => {
            record_connected(cx, key);
            Ok(Dialed {
                connection,
                path: ConnectionPath::Direct,
            })
        }
        Err(e) if record_failed(cx, key) => {
            let through_router = dial_through_router(cx, key, address, 1).await;
            through_router.map_err(|_| e)
        }
        Err(e) => Err(e),
    }
}

/// Connects to a backend server over a given path and no other.
pub async fn dial_over(
    cx: &Context,
    key: ServerKey,
    address: SocketAddr,
    path: ConnectionPath,
) -> Result<Dialed, ConnectError> {
    let connection = match path {
        ConnectionPath::Direct => {
            let connected = cx.connector.connect(address);
            let limit = PEER_CONNECT_TIMEOUT;
            establish(address, connected, limit, Liveness::PATIENT).await?
        }
        ConnectionPath::Through(router) => open_through(cx, key, address, router).await?,
    };
    Ok(Dialed { connection, path })
}

async fn open_through(
    cx: &Context,
    key: ServerKey,
    address: SocketAddr,
    router: SocketAddr,
) -> Result<Connection<Full<Bytes>>, ConnectError> {
    let error = |reason: String| ConnectError {
        step: "connect through a router to",
        peer: address,
        reason,
    };
    let target = target(cx, key);
    let (instance_hash, _) = target.ok_or_else(|| error(UNREGISTERED.to_owned()))?;
    let opened = tunnel::open(router, instance_hash).await;
    let stream = opened.map_err(|e| error(e.to_string()))?;
    let connection = start_http(address, stream).await;
    connection.map_err(|e| error(error_chain(&e)))
}

/// Returns how a connection to a backend server is to be made.
pub fn path(cx: &Context, key: ServerKey) -> Path {
    let view = cx.view.borrow();
    let server = view.fleet.get(key);
    server.map_or(Path::Direct, |server| view.reach.path(now(), key, server))
}

/// Connects to a backend server for another router, itself or not at all.
pub async fn connect_for_peer(cx: &Context, instance_hash: u64) -> Result<TcpStream, TunnelError> {
    let (key, address) = {
        let view = cx.view.borrow();
        let key = view.fleet.by_instance_hash(instance_hash);
        let server = key.and_then(|key| Some((key, view.fleet.get(key)?)));
        let (key, server) = server.context(RefusedSnafu {
            reason: "server is not registered",
        })?;
        (key, server.registration.address)
    };
    if path(cx, key) == Path::ThroughRouter {
        return RefusedSnafu {
            reason: "cut off too",
        }
        .fail();
    }
    let stream = probe(cx, key, address).await.context(ServerSnafu)?;
    Liveness::PATIENT.apply(&stream).context(ServerSnafu)?;
    Ok(stream)
}

/// Connects to a backend server itself, and records whether that worked.
pub async fn probe(cx: &Context, key: ServerKey, address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(PEER_CONNECT_TIMEOUT, cx.connector.connect(address)).await;
    let result = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    match &result {
        Ok(_) => record_connected(cx, key),
        Err(_) => {
            record_failed(cx, key);
        }
    }
    result
}

fn record_connected(cx: &Context, key: ServerKey) {
    let change = {
        let mut view = cx.view.borrow_mut();
        let view = &mut *view;
        let server = view.fleet.get(key);
        server.and_then(|server| view.reach.record_connected(now(), key, server))
    };
    if let Some(change) = change {
        cx.on_reach_change(&change);
    }
}

/// Records that a connection failed. Returns whether another router may reach the server.
fn record_failed(cx: &Context, key: ServerKey) -> bool {
    let mut view = cx.view.borrow_mut();
    view.reach.record_failed(now(), key);
    let server = view.fleet.get(key);
    server.is_some_and(|server| view.reach.may_be_reached_by_others(now(), key, server))
}

async fn dial_through_router(
    cx: &Context,
    key: ServerKey,
    address: SocketAddr,
    max_asked: usize,
) -> Result<Dialed, ConnectError> {
    let error = |reason: String| ConnectError {
        step: "connect through a router to",
        peer: address,
        reason,
    };
    let Some((instance_hash, domain)) = target(cx, key) else {
        return Err(error(UNREGISTERED.to_owned()));
    };
    let mut last = "no router to ask".to_owned();
    let mut failed = 0;
    for (router, peer) in cx.routers_to_ask(&domain, max_asked) {
        let begun_at = now();
        let opened = tunnel::open(peer, instance_hash).await;
        ReachEvent::Asked {
            server: instance_hash,
            router: peer,
            took_ms: now().millis_since(begun_at),
            reason: opened.as_ref().err().map(ToString::to_string),
        }
        .write();
        match opened {
            Ok(stream) => {
                let connection = start_http(address, stream).await;
                let connection = connection.map_err(|e| error(error_chain(&e)))?;
                return Ok(Dialed {
                    connection,
                    path: ConnectionPath::Through(peer),
                });
            }
            Err(e) => {
                last = e.to_string();
                let mut view = cx.view.borrow_mut();
                if e.is_of_server() {
                    view.reach.record_failed_for_other(now(), key);
                    failed += 1;
                } else {
                    view.reach.record_refused(now(), router, &domain);
                }
            }
        }
        if failed >= MAX_FAILED {
            break;
        }
    }
    Err(error(last))
}

fn target(cx: &Context, key: ServerKey) -> Option<(u64, Arc<str>)> {
    let view = cx.view.borrow();
    let server = view.fleet.get(key)?;
    Some((
        server.instance_hash,
        Arc::clone(&server.registration.domain),
    ))
}
