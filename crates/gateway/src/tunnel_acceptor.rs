//! Connections to backend servers that this router holds for others.

use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONNECTION;
use http::header::UPGRADE;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::copy;
use tokio::io::split;
use tokio::net::TcpStream;

use crate::accepted_connection::AcceptedConnection;
use crate::body::ResponseBody;
use crate::connection::error_chain;
use crate::context::Context;
use crate::context::Phase;
use crate::dialer;
use crate::log_event::LogEvent;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;
use crate::reach_event::ReachEvent;
use crate::tunnel::PATH;
use crate::tunnel::PROTOCOL;
use crate::tunnel_error::RefusedSnafu;
use crate::tunnel_error::TunnelError;
use crate::tunnel_stream::send_frames;

/// Most connections that a router holds for others.
const MAX_TUNNELS: i64 = 800;

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
    connection: Rc<AcceptedConnection>,
    from: IpAddr,
    server: u64,
    mut req: Request<Incoming>,
) -> Response<ResponseBody> {
    let hold = connection.hold_tunnel();
    let result = if hold.is_some() && connection.begin_running() {
        connect(&cx, from, server).await
    } else {
        let reason = "too many connections";
        RefusedSnafu { reason }.fail()
    };
    ReachEvent::Accepted {
        server,
        from,
        reason: result.as_ref().err().map(ToString::to_string),
    }
    .write();
    let stream = match result {
        Ok(stream) => stream,
        Err(e) => {
            let mut response = Response::new(ResponseBody::own(e.to_string()));
            *response.status_mut() = e.status();
            connection.mark_idle();
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
        drop(hold);
        drop(connection);
    });
    let mut response = Response::new(ResponseBody::own(Bytes::new()));
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
