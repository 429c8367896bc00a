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
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
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
use crate::tunnel_error::RefusedSnafu;
use crate::tunnel_error::StatusSnafu;
use crate::tunnel_error::TunnelError;
use crate::tunnel_stream::send_frames;
use crate::tunnel_stream::unframed;

/// Path under which a router asks for a connection, before the server's instance hash.
const PATH: &str = "/tunnel/";

/// Protocol to which the connection between the routers changes. Routers of earlier builds use
/// `tunnel`, without frames, and refuse this one.
const PROTOCOL: HeaderValue = HeaderValue::from_static("framed-tunnel");

/// Most connections that a router holds for others.
const MAX_TUNNELS: i64 = 800;

/// Time for connecting to the other router, in addition to its own for the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens a connection to a backend server, by its instance hash, through the router at `peer`.
pub async fn open(
    peer: SocketAddr,
    server: u64,
) -> Result<impl AsyncRead + AsyncWrite + Unpin, TunnelError> {
    let limit = CONNECT_TIMEOUT + dialer::PEER_CONNECT_TIMEOUT;
    match timeout(limit, request(peer, server)).await {
        Ok(result) => result.map(unframed),
        Err(_) => Err(router_error("response", "timeout")),
    }
}

async fn request(peer: SocketAddr, server: u64) -> Result<TokioIo<Upgraded>, TunnelError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| router_error("connect", "timeout"))?;
    let stream = stream.map_err(|e| router_error("connect", e))?;
    let configured = Liveness::PATIENT.apply(&stream);
    configured.map_err(|e| router_error("configure socket", e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| router_error("handshake", error_chain(&e)))?;
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
        .map_err(|e| router_error("request", e))?;
    let response = sender
        .send_request(req)
        .await
        .map_err(|e| router_error("response", error_chain(&e)))?;
    let status = response.status();
    if status != StatusCode::SWITCHING_PROTOCOLS {
        return StatusSnafu { status }.fail();
    }
    let upgraded = hyper::upgrade::on(response).await;
    let upgraded = upgraded.map_err(|e| router_error("upgrade", error_chain(&e)))?;
    Ok(TokioIo::new(upgraded))
}

fn router_error<R>(step: &'static str, reason: R) -> TunnelError
where
    R: ToString,
{
    TunnelError::Router {
        step,
        reason: reason.to_string(),
    }
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
        reason: result.as_ref().err().map(ToString::to_string),
    }
    .write();
    let stream = match result {
        Ok(stream) => stream,
        Err(e) => {
            let mut response = Response::new(full_body(e.to_string()));
            *response.status_mut() = e.status();
            return response;
        }
    };
    cx.metrics.servers.tunnels_open.inc();
    tokio::task::spawn_local(async move {
        match hyper::upgrade::on(&mut req).await {
            Ok(upgraded) => relay(TokioIo::new(upgraded), stream, from).await,
            Err(e) => log_peer_failure(Step::Connection, &from, &error_chain(&e)),
        }
        cx.metrics.servers.tunnels_open.dec();
    });
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, PROTOCOL);
    response
}

async fn connect(cx: &Context, from: IpAddr, server: u64) -> Result<TcpStream, TunnelError> {
    let reason = if !cx.peers.is_router_at(from) {
        "not a router"
    } else if cx.phase.get() == Phase::Leaving {
        "stopping"
    } else if cx.metrics.servers.tunnels_open.get() >= MAX_TUNNELS {
        "too many connections"
    } else {
        return dialer::connect_for_peer(cx, server).await;
    };
    RefusedSnafu { reason }.fail()
}

/// Passes bytes on until one side closes, then closes the other: the server must learn at once that
/// the caller has left. If the server's side breaks, the other router sees no regular end.
async fn relay(router: TokioIo<Upgraded>, server: TcpStream, from: IpAddr) {
    let (mut router_read, router_write) = split(router);
    let (server_read, mut server_write) = server.into_split();
    tokio::select! {
        _ = copy(&mut router_read, &mut server_write) => {}
        result = send_frames(server_read, router_write) => {
            if let Err(e) = result {
                log_peer_failure(Step::Tunnel, &from, &e);
            }
        }
    }
}
