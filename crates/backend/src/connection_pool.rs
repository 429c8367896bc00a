//! Pool of HTTP/1.1 connections to backend servers.
//!
//! The pool never sends a request twice: it tries another connection only if hyper
//! returns the request unsent, that is before its first byte was written.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::call_context::CallContext;
use crate::Result;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of idle connections kept for each backend server.
const MAX_IDLE_PER_SERVER: usize = 256;

/// Size of the kernel's receive buffer, in bytes; it doubles it. What a server has sent and is not read
/// counts toward the memory of the VM, and grows to megabytes otherwise.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// Bytes that are read ahead of a response, which is also the largest head of one.
const READ_AHEAD_BYTES: usize = 16 << 10;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: Range<u16> = 200..600;

/// Body of a request to a backend server.
pub(crate) type RequestBody = Full<Bytes>;

type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Pool of idle connections by server address; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    expires_at: Instant,
}

/// A response and the connection that still delivers its body.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Status, headers and unread body.
    pub response: Response<Incoming>,
    /// Connection, reusable once the body was read to its end.
    pub connection: PooledConnection,
}

/// A connection that carries a request; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: ConnectionPool,
    peer: SocketAddr,
    sender: SendRequest<RequestBody>,
}

impl PooledConnection {
    /// Makes the connection available for reuse; the body must have been read to its end.
    pub(crate) fn return_to_pool(self) {
        self.pool.put(self.peer, self.sender);
    }
}

impl ConnectionPool {
    /// Sends a request over an idle connection if there is one, else over a new one.
    pub(crate) async fn send(
        &self,
        cx: CallContext,
        mut req: Request<RequestBody>,
    ) -> Result<Exchange> {
        while let Some(mut sender) = self.take_ready(cx.peer).await {
            match sender.try_send_request(req).await {
                Ok(response) => return self.exchange(cx, response, sender),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(cx.broken(e.error())),
                },
            }
        }
        self.send_on_new_connection(cx, req).await
    }

    /// Sends a request over a new connection, even if an idle one exists.
    pub(crate) async fn send_on_new_connection(
        &self,
        cx: CallContext,
        req: Request<RequestBody>,
    ) -> Result<Exchange> {
        let mut sender = connect(cx).await?;
        match sender.try_send_request(req).await {
            Ok(response) => self.exchange(cx, response, sender),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(cx.not_connected(e.error())),
                None => Err(cx.broken(e.error())),
            },
        }
    }

    /// Returns the exchange, or an error if the status isn't that of a final response: such a server is
    /// faulty and may have run the request, so nothing else in the response is used.
    fn exchange(
        &self,
        cx: CallContext,
        response: Response<Incoming>,
        sender: SendRequest<RequestBody>,
    ) -> Result<Exchange> {
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(cx.broken(format!("status {status} of no final response")));
        }
        Ok(Exchange {
            response,
            connection: PooledConnection {
                pool: self.clone(),
                peer: cx.peer,
                sender,
            },
        })
    }

    async fn take_ready(&self, peer: SocketAddr) -> Option<SendRequest<RequestBody>> {
        loop {
            let mut sender = self.pop(peer)?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn pop(&self, peer: SocketAddr) -> Option<SendRequest<RequestBody>> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&peer)?;
        while let Some(connection) = connections.pop() {
            if connection.expires_at > now && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        idle.remove(&peer);
        None
    }

    fn put(&self, peer: SocketAddr, sender: SendRequest<RequestBody>) {
        let expires_at = Instant::now() + IDLE_TIMEOUT;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { sender, expires_at });
        }
    }
}

async fn connect(cx: CallContext) -> Result<SendRequest<RequestBody>> {
    let stream = match timeout(CONNECT_TIMEOUT, open(cx.peer)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(cx.not_connected(e)),
        Err(_) => return Err(cx.not_connected("connect timeout")),
    };
    stream.set_nodelay(true).map_err(|e| cx.not_connected(e))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_AHEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| cx.not_connected(e))?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn open(peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(peer).await
}
