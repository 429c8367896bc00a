//! HTTP/1.1 client connections to other processes.

use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
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

/// Most bytes that the http library reads ahead, which is also the largest head of a response.
const MAX_BUFFER_BYTES: usize = 16 << 10;

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
    /// Whether HTTP on it has ended, regularly or not. False after the task has ended means that the
    /// task was dropped, and what was being read of a response is no longer known to be whole.
    pub has_ended: Rc<Cell<bool>>,
}

impl<B> Connection<B> {
    /// Returns whether the task that drives it was dropped.
    pub fn is_dropped(&self) -> bool {
        self.task.is_finished() && !self.has_ended.get()
    }
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
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let has_ended = Rc::new(Cell::new(false));
    let ended = Rc::clone(&has_ended);
    let task = tokio::task::spawn_local(async move {
        let result = connection.await;
        ended.set(true);
        if let Err(e) = result {
            log_peer_failure(Step::ClientConnection, &peer, &error_chain(&e));
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        allowance,
        has_ended,
    })
}

/// Returns the kind of the I/O error that ended a connection, if one did.
pub fn io_kind(e: &hyper::Error) -> Option<io::ErrorKind> {
    let source = e.source()?;
    Some(source.downcast_ref::<io::Error>()?.kind())
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
