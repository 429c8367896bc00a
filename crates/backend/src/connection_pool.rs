//! Connections to backend servers.
//!
//! The pool never sends a request twice: it takes another connection only when
//! hyper gives the request back, which it does before its first byte is written.

use std::collections::HashMap;
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::call_context::CallContext;
use crate::Result;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle connections that are kept for each backend server.
const MAX_IDLE_PER_SERVER: usize = 256;

/// Body of a request.
pub(crate) type RequestBody = Full<Bytes>;

type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Connections to backend servers, reused when idle.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    expires_at: Instant,
}

/// An answer whose connection can be given back once its body was read to the end.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Answer.
    pub response: Response<Incoming>,
    /// Connection, to be given back.
    pub connection: ActiveConnection,
}

/// A connection in use; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ActiveConnection {
    pool: ConnectionPool,
    peer: SocketAddr,
    sender: SendRequest<RequestBody>,
}

impl ActiveConnection {
    /// Gives the connection back, after the body of its answer was read to the end.
    pub(crate) fn return_to_pool(self) {
        self.pool.put(self.peer, self.sender);
    }
}

impl ConnectionPool {
    /// Sends a request over an idle connection, or over a new one.
    pub(crate) async fn send(
        &self,
        cx: CallContext,
        mut req: Request<RequestBody>,
    ) -> Result<Exchange> {
        while let Some(mut sender) = self.take_ready(cx.peer).await {
            match sender.try_send_request(req).await {
                Ok(response) => return Ok(self.exchange(cx, response, sender)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(cx.broken(e.error())),
                },
            }
        }
        self.send_on_new_connection(cx, req).await
    }

    /// Sends a request over a new connection.
    pub(crate) async fn send_on_new_connection(
        &self,
        cx: CallContext,
        req: Request<RequestBody>,
    ) -> Result<Exchange> {
        let mut sender = connect(cx).await?;
        match sender.try_send_request(req).await {
            Ok(response) => Ok(self.exchange(cx, response, sender)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(cx.not_connected(e.error())),
                None => Err(cx.broken(e.error())),
            },
        }
    }

    fn exchange(
        &self,
        cx: CallContext,
        response: Response<Incoming>,
        sender: SendRequest<RequestBody>,
    ) -> Exchange {
        Exchange {
            response,
            connection: ActiveConnection {
                pool: self.clone(),
                peer: cx.peer,
                sender,
            },
        }
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
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(cx.peer)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(cx.not_connected(e)),
        Err(_) => return Err(cx.not_connected("connect timeout")),
    };
    stream.set_nodelay(true).map_err(|e| cx.not_connected(e))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| cx.not_connected(e))?;
    tokio::spawn(connection);
    Ok(sender)
}
