//! Connections to backend servers through another router.
//!
//! A router that can't connect to a server asks one that can for a connection, over the port that
//! routers use among themselves. That one passes bytes on and decides nothing: placement, retries and
//! what a broken connection means stay with the router that has the caller. It connects itself or
//! refuses, so that there is never a second hop.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::UPGRADE;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::copy;
use tokio::io::split;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::full_body;
use crate::body::ResponseBody;
use crate::connection::error_chain;
use crate::context::Context;
use crate::context::Phase;
use crate::dialer;
use crate::liveness::Liveness;
use crate::log_event::LogEvent;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;
use crate::reach_event::ReachEvent;

/// Path under which a router asks for a connection, before the server's instance hash.
const PATH: &str = "/tunnel/";

/// Protocol to which the connection between the routers changes.
const PROTOCOL: HeaderValue = HeaderValue::from_static("tunnel");

/// Most connections that a router holds for others.
const MAX_TUNNELS: i64 = 800;

/// Time for connecting to the other router, in addition to its own for the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens a connection to a backend server, by its instance hash, through the router at `peer`.
pub async fn open(peer: SocketAddr, server: u64) -> Result<TokioIo<Upgraded>, String> {
    let limit = CONNECT_TIMEOUT + dialer::PEER_CONNECT_TIMEOUT;
    match timeout(limit, request(peer, server)).await {
        Ok(result) => result,
        Err(_) => Err("timeout".to_owned()),
    }
}

async fn request(peer: SocketAddr, server: u64) -> Result<TokioIo<Upgraded>, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| "connect: timeout".to_owned())?;
    let stream = stream.map_err(|e| format!("connect: {e}"))?;
    Liveness::PATIENT
        .apply(&stream)
        .map_err(|e| format!("configure socket: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| error_chain(&e))?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.with_upgrades().await {
            log_peer_failure(Step::ClientConnection, &peer, &error_chain(&e));
        }
    });
    let req = Request::builder()
        .uri(format!("{PATH}{server:016x}"))
        .header(HOST, peer.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response = sender
        .send_request(req)
        .await
        .map_err(|e| error_chain(&e))?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(format!("status {}", response.status().as_u16()));
    }
    let upgraded = hyper::upgrade::on(response).await;
    upgraded.map(TokioIo::new).map_err(|e| error_chain(&e))
}

/// Returns the instance hash of the server for which a request asks a connection; none if it asks
/// for something else.
pub fn target(req: &Request<Incoming>) -> Option<u64> {
    let hash = req.uri().path().strip_prefix(PATH)?;
    let upgrades = req.headers().get(UPGRADE) == Some(&PROTOCOL);
    u64::from_str_radix(hash, 16).ok().filter(|_| upgrades)
}

/// Connects to a backend server for another router, and passes bytes on in both directions until
/// either side closes.
pub async fn accept(
    cx: Rc<Context>,
    from: IpAddr,
    server: u64,
    mut req: Request<Incoming>,
) -> Response<ResponseBody> {
    let result = connect(&cx, from, server).await;
    ReachEvent::Accepted {
        server,
        from,
        reason: result.as_ref().err().map(String::as_str),
    }
    .write();
    let (status, mut response) = match result {
        Ok(stream) => {
            cx.metrics.servers.tunnels_open.inc();
            tokio::task::spawn_local(async move {
                match hyper::upgrade::on(&mut req).await {
                    Ok(upgraded) => relay(TokioIo::new(upgraded), stream).await,
                    Err(e) => log_peer_failure(Step::Connection, &from, &error_chain(&e)),
                }
                cx.metrics.servers.tunnels_open.dec();
            });
            let response = Response::new(full_body(Bytes::new()));
            (StatusCode::SWITCHING_PROTOCOLS, response)
        }
        Err(reason) => {
            let response = Response::new(full_body(reason));
            (StatusCode::SERVICE_UNAVAILABLE, response)
        }
    };
    *response.status_mut() = status;
    if status == StatusCode::SWITCHING_PROTOCOLS {
        let upgrade = HeaderValue::from_static("upgrade");
        response.headers_mut().insert(CONNECTION, upgrade);
        response.headers_mut().insert(UPGRADE, PROTOCOL);
    }
    response
}

async fn connect(cx: &Context, from: IpAddr, server: u64) -> Result<TcpStream, String> {
    if !cx.peers.is_router_at(from) {
        return Err("not a router".to_owned());
    }
    if cx.phase.get() == Phase::Leaving {
        return Err("stopping".to_owned());
    }
    if cx.metrics.servers.tunnels_open.get() >= MAX_TUNNELS {
        return Err("too many connections".to_owned());
    }
    dialer::connect_for_peer(cx, server).await
}

/// Passes bytes on until one side closes, then closes the other: the server must learn at once that
/// the caller has left.
async fn relay(router: TokioIo<Upgraded>, server: TcpStream) {
    let (mut router_read, mut router_write) = split(router);
    let (mut server_read, mut server_write) = server.into_split();
    // An error is an end too: the sides learn of it as their connections close.
    tokio::select! {
        _ = copy(&mut router_read, &mut server_write) => {}
        _ = copy(&mut server_read, &mut router_write) => {}
    }
    let _ = router_write.shutdown().await;
}
