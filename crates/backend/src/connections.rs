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

use crate::peer_step::PeerStep;
use crate::Result;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle connections that are kept for each backend server.
const MAX_IDLE: usize = 256;

/// Body of a request.
pub(crate) type RequestBody = Full<Bytes>;

type Idle = HashMap<SocketAddr, Vec<IdleConnection>>;

/// Connections to backend servers, reused when idle.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    idle: Arc<Mutex<Idle>>,
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
    pub answer: Response<Incoming>,
    /// Connection, to be given back.
    pub lease: ConnectionLease,
}

/// A connection in use; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    connections: Connections,
    peer: SocketAddr,
    sender: SendRequest<RequestBody>,
}

impl ConnectionLease {
    /// Gives the connection back, after the body of its answer was read to the end.
    pub(crate) fn give_back(self) {
        self.connections.put(self.peer, self.sender);
    }
}

impl Connections {
    /// Sends a request over an idle connection, or over a new one.
    pub(crate) async fn send(
        &self,
        at: PeerStep,
        mut req: Request<RequestBody>,
    ) -> Result<Exchange> {
        while let Some(mut sender) = self.take(at.peer).await {
            match sender.try_send_request(req).await {
                Ok(answer) => return Ok(self.exchange(at, answer, sender)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(at.broken(e.error())),
                },
            }
        }
        self.send_anew(at, req).await
    }

    /// Sends a request over a new connection.
    pub(crate) async fn send_anew(
        &self,
        at: PeerStep,
        req: Request<RequestBody>,
    ) -> Result<Exchange> {
        let mut sender = connect(at).await?;
        match sender.try_send_request(req).await {
            Ok(answer) => Ok(self.exchange(at, answer, sender)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(at.not_connected(e.error())),
                None => Err(at.broken(e.error())),
            },
        }
    }

    fn exchange(
        &self,
        at: PeerStep,
        answer: Response<Incoming>,
        sender: SendRequest<RequestBody>,
    ) -> Exchange {
        Exchange {
            answer,
            lease: ConnectionLease {
                connections: self.clone(),
                peer: at.peer,
                sender,
            },
        }
    }

    async fn take(&self, peer: SocketAddr) -> Option<SendRequest<RequestBody>> {
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
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection { sender, expires_at });
        }
    }
}

async fn connect(at: PeerStep) -> Result<SendRequest<RequestBody>> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(at.peer)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(at.not_connected(e)),
        Err(_) => return Err(at.not_connected("connect timeout")),
    };
    stream.set_nodelay(true).map_err(|e| at.not_connected(e))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| at.not_connected(e))?;
    tokio::spawn(connection);
    Ok(sender)
}
