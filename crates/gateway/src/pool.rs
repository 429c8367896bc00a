//! Connections to backend servers, kept for further requests.
//!
//! A request is never sent twice by the pool: another connection is taken only
//! when hyper gives the request back, which it does before its first byte is written.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use policy::Time;
use relay::Fleet;
use relay::ServerKey;
use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::now;
use crate::process_event::failed_with;
use crate::process_event::Step;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which sent bytes may stay unacknowledged before a connection is given up.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time after which a connection is probed, and the time between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Time for which a connection is kept whose server names no time, in milliseconds.
const KEEP_MS: u64 = 500;

/// Time before a server's own limit at which a connection is no longer reused, in milliseconds.
const KEEP_MARGIN_MS: u64 = 400;

/// Idle connections that are kept for each backend server.
const MAX_IDLE: usize = 24;

/// Why a request has no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("{step} {peer}: {reason}"))]
    Unsent {
        /// What was being done.
        step: &'static str,
        /// Address of the backend server.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request may have been read.
    #[snafu(display("answer of {peer}: {reason}"))]
    Broken {
        /// Address of the backend server.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Time,
}

/// A connection in use. Dropping it closes the connection at once, so that the
/// backend server stops its work.
pub struct Lease {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// Connections to backend servers.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<ServerKey, Vec<Idle>>>,
}

impl Pool {
    /// Sends a request over an idle connection, or over a new one.
    pub async fn send(
        &self,
        server: ServerKey,
        peer: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        while let Some(mut lease) = self.take(server) {
            match exchange(&mut lease, req).await {
                Ok(answer) => return Ok((answer, lease)),
                Err(Failed::Unsent(unsent)) => req = *unsent,
                Err(Failed::Broken(reason)) => return BrokenSnafu { peer, reason }.fail(),
            }
        }
        let mut lease = connect(peer).await?;
        match exchange(&mut lease, req).await {
            Ok(answer) => Ok((answer, lease)),
            Err(Failed::Unsent(_)) => UnsentSnafu {
                step: "write to",
                peer,
                reason: "connection closed",
            }
            .fail(),
            Err(Failed::Broken(reason)) => BrokenSnafu { peer, reason }.fail(),
        }
    }

    /// Keeps a connection after the body of its answer was read to the end.
    pub fn give_back(&self, server: ServerKey, mut lease: Lease, keep_ms: Option<u64>) {
        let Some(sender) = lease.sender.take() else {
            return;
        };
        let keep_ms = keep_ms.map_or(KEEP_MS, |ms| ms.saturating_sub(KEEP_MARGIN_MS));
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(server).or_default();
        if idle.len() >= MAX_IDLE || sender.is_closed() {
            lease.task.abort();
            return;
        }
        idle.push(Idle {
            sender,
            task: lease.task.clone(),
            until: now().plus_millis(keep_ms),
        });
    }

    /// Closes idle connections whose time is over, and those to servers that are gone.
    pub fn sweep(&self, fleet: &Fleet) {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|server, connections| {
            let live = fleet.get(*server).is_some();
            connections.retain(|connection| {
                let keep = live && connection.until > now && !connection.sender.is_closed();
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a backend server.
    pub fn clear(&self, server: ServerKey) {
        for connection in self.idle.borrow_mut().remove(&server).into_iter().flatten() {
            connection.task.abort();
        }
    }

    fn take(&self, server: ServerKey) -> Option<Lease> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server)?;
        while let Some(connection) = idle.pop() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(Lease {
                    sender: Some(connection.sender),
                    task: connection.task,
                });
            }
            connection.task.abort();
        }
        None
    }
}

enum Failed {
    Unsent(Box<Request<Full<Bytes>>>),
    Broken(String),
}

async fn exchange(
    lease: &mut Lease,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failed> {
    let sender = lease.sender.as_mut().expect("a lease in use has a sender");
    match sender.try_send_request(req).await {
        Ok(answer) => Ok(answer),
        Err(mut e) => match e.take_message() {
            Some(unsent) => Err(Failed::Unsent(Box::new(unsent))),
            None => Err(Failed::Broken(describe(&e.into_error()))),
        },
    }
}

async fn connect(peer: SocketAddr) -> Result<Lease, SendError> {
    let unsent = |step, reason: String| SendError::Unsent { step, peer, reason };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(unsent("connect to", e.to_string())),
        Err(_) => return Err(unsent("connect to", "timeout".to_owned())),
    };
    configure(&stream).map_err(|e| unsent("configure socket to", e.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unsent("handshake with", e.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            failed_with(Step::KeptConnection, &peer, &describe(&e));
        }
    });
    Ok(Lease {
        sender: Some(sender),
        task: task.abort_handle(),
    })
}

/// Makes a connection notice that its peer has fallen silent.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Returns an error with its causes.
pub fn describe(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
