//! Connections to backend servers through another router.
//!
//! A router that can't connect to a server asks one that can for a connection, over the port that
//! routers use among themselves. That one passes bytes on and decides nothing: placement, retries and
//! what a broken connection means stay with the router that has the caller. It connects itself or
//! refuses, so that there is never a second hop.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::UPGRADE;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::time::timeout;

use crate::connection::error_chain;
use crate::connector::connect;
use crate::liveness::Liveness;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;
use crate::tunnel_error::StatusSnafu;
use crate::tunnel_error::TunnelError;
use crate::tunnel_stream::unframed;

/// Path under which a router asks for a connection, before the server's instance hash.
pub const PATH: &str = "/tunnel/";

/// Protocol to which the connection between the routers changes. Routers of earlier builds use
/// `tunnel`, without frames, and refuse this one.
pub const PROTOCOL: HeaderValue = HeaderValue::from_static("framed-tunnel");

/// Timeout for connections to backend servers of probes and of a router that is asked for one, which
/// is quick if it can reach the server.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for connecting to the other router, in addition to its own for the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest head of the other router's response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Opens a connection to a backend server, by its instance hash, through the router at `peer`.
pub async fn open(
    peer: SocketAddr,
    server: u64,
) -> Result<impl AsyncRead + AsyncWrite + Unpin, TunnelError> {
    let limit = CONNECT_TIMEOUT + PEER_CONNECT_TIMEOUT;
    match timeout(limit, request(peer, server)).await {
        Ok(result) => result.map(unframed),
        Err(_) => Err(router_error("response", "timeout")),
    }
}

async fn request(peer: SocketAddr, server: u64) -> Result<TokioIo<Upgraded>, TunnelError> {
    let stream = timeout(CONNECT_TIMEOUT, connect(peer)).await;
    let stream = stream.map_err(|_| router_error("connect", "timeout"))?;
    let stream = stream.map_err(|e| router_error("connect", e))?;
    let configured = Liveness::PATIENT.apply(&stream);
    configured.map_err(|e| router_error("configure socket", e))?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
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
