//! HTTP/1.1 client connections to other processes.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use relay::AttemptEnd;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::limited_stream::LimitedStream;
use crate::limited_stream::ReadAllowance;
use crate::liveness::Liveness;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;

/// Most bytes that are read of a response that doesn't name its length.
pub const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Reason why a connection could not be established.
#[derive(Debug, Snafu)]
#[snafu(display("{step} {peer}: {reason}"))]
pub struct ConnectError {
    /// Step that failed, as in `connect to`.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Description of the error.
    pub reason: String,
}

/// An open HTTP connection. A task of its own drives it until it is closed or the task is aborted.
#[derive(Debug)]
pub struct Connection<B> {
    /// Sends requests over it.
    pub sender: SendRequest<B>,
    /// Aborts the task that drives it, which closes it.
    pub task: AbortHandle,
    /// Bytes that may still be read from it.
    pub allowance: ReadAllowance,
}

/// Connects to `peer` within `limit` and starts HTTP on the connection.
pub async fn connect<B>(
    peer: SocketAddr,
    limit: Duration,
    liveness: Liveness,
) -> Result<Connection<B>, ConnectError>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    establish(peer, TcpStream::connect(peer), limit, liveness).await
}

/// Waits up to `limit` for a stream to `peer` and starts HTTP on it.
pub async fn establish<B, F>(
    peer: SocketAddr,
    stream: F,
    limit: Duration,
    liveness: Liveness,
) -> Result<Connection<B>, ConnectError>
where
    F: Future<Output = io::Result<TcpStream>>,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let error = |step, reason: String| ConnectError { step, peer, reason };
    let stream = match timeout(limit, stream).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(error("connect to", e.to_string())),
        Err(_) => return Err(error("connect to", "timeout".to_owned())),
    };
    let configured = liveness.apply(&stream);
    configured.map_err(|e| error("configure socket to", e.to_string()))?;
    let result = start_http(peer, stream).await;
    result.map_err(|e| error("handshake with", error_chain(&e)))
}

/// Starts HTTP on a stream to `peer`.
pub async fn start_http<B, S>(peer: SocketAddr, stream: S) -> Result<Connection<B>, hyper::Error>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (stream, allowance) = LimitedStream::new(stream, MAX_RESPONSE_BYTES);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log_peer_failure(Step::ClientConnection, &peer, &error_chain(&e));
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        allowance,
    })
}

/// Returns how an attempt ended whose connection failed while a response was due. A peer that can't
/// be reached, or sends invalid bytes, may be alive.
pub fn broken_end(e: &hyper::Error) -> AttemptEnd {
    let io_error = e.source().and_then(|source| source.downcast_ref());
    let is_closed = io_error.is_some_and(|e: &io::Error| {
        matches!(
            e.kind(),
            io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::UnexpectedEof
        )
    });
    if e.is_incomplete_message() || is_closed {
        AttemptEnd::BrokenOff
    } else {
        AttemptEnd::Unknown
    }
}

/// Returns the texts of an error and its sources, separated by colons.
pub fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
