//! Pool of HTTP connections to backend servers.
//!
//! The pool never sends a request twice. It tries another connection only if hyper
//! returns the request, which happens only before its first byte is written.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use policy::Time;
use relay::AttemptEnd;
use relay::Fleet;
use relay::ServerKey;
use snafu::Snafu;

use crate::clock::now;
use crate::connection::error_chain;
use crate::connection::io_kind;
use crate::connection::ConnectError;
use crate::dialed::ConnectionPath;
use crate::dialed::Dialed;
use crate::response_end::ResponseEnd;

/// Idle time of a connection whose server announces no keep-alive timeout, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 500;

/// Time before a server's own keep-alive timeout at which a connection is no longer
/// reused, in milliseconds.
const KEEP_ALIVE_MARGIN_MS: u64 = 400;

/// Most bytes that are read until the head of a response is complete.
const MAX_HEAD_BYTES: u64 = 256 << 10;

/// Most idle connections kept for each backend server.
const MAX_IDLE: usize = 24;

/// Reason why a request has no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("{step} {peer}: {reason}"))]
    Unsent {
        /// Step that failed, as in `connect to`.
        step: &'static str,
        /// Address of the backend server.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
    },
    /// The backend server may have read the request.
    #[snafu(display("response from {peer}: {reason}"))]
    Broken {
        /// Address of the backend server.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether the connection was reset, as by a server that has too many.
        is_reset: bool,
    },
}

impl SendError {
    /// Returns how the attempt ended.
    pub fn end(&self) -> AttemptEnd {
        match self {
            SendError::Unsent { .. } => AttemptEnd::Unsent,
            SendError::Broken { end, .. } => *end,
        }
    }
}

impl From<ConnectError> for SendError {
    fn from(e: ConnectError) -> SendError {
        SendError::Unsent {
            step: e.step,
            peer: e.peer,
            reason: e.reason,
        }
    }
}

struct IdleConnection {
    connection: Dialed,
    reusable_until: Time,
}

/// A connection in use. Dropping it without returning it to the pool closes the
/// connection at once, so that the backend server cancels the request.
pub struct PooledConnection {
    dialed: Option<Dialed>,
    /// Whether it has carried an earlier request.
    is_reused: bool,
}

impl PooledConnection {
    /// Wraps a connection that no request has used.
    pub fn new(dialed: Dialed) -> PooledConnection {
        PooledConnection {
            dialed: Some(dialed),
            is_reused: false,
        }
    }

    /// Returns whether it has carried an earlier request, of which a copy of the response may come.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Allows `bytes` more bytes of the response to be read.
    pub fn allow(&self, bytes: u64) {
        if let Some(dialed) = &self.dialed {
            dialed.connection.allowance.set(bytes);
        }
    }

    /// Returns how a response ended that its connection's failure cut short.
    pub fn response_end(&self, e: &hyper::Error) -> ResponseEnd {
        ResponseEnd::of_error(e, self.dialed().is_tunnel())
    }

    /// Returns whether nothing reads from it any more, although HTTP on it has not ended.
    pub fn is_dropped(&self) -> bool {
        self.dialed().connection.is_dropped()
    }

    /// Returns whether no request can be sent over it any more.
    pub fn is_closed(&self) -> bool {
        self.dialed().connection.sender.is_closed()
    }

    /// Returns the way that it takes.
    pub fn path(&self) -> ConnectionPath {
        self.dialed().path
    }

    /// Sends a request over it, and nowhere else.
    pub async fn send(
        &mut self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match try_send(self, req).await {
            Ok(response) => Ok(response),
            Err(SendFailure::Unsent(_)) => UnsentSnafu {
                step: "write to",
                peer,
                reason: "connection closed",
            }
            .fail(),
            Err(SendFailure::Broken(e)) => Err(broken(peer, self, &e)),
        }
    }

    fn dialed(&self) -> &Dialed {
        let dialed = self.dialed.as_ref();
        dialed.expect("a connection in use is open")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(dialed) = &self.dialed {
            dialed.connection.task.abort();
        }
    }
}

/// Pool of idle connections, by backend server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Sends a request over an idle connection, or over a new one that `dial` establishes.
    pub async fn send<F>(
        &self,
        server: ServerKey,
        peer: SocketAddr,
        mut req: Request<Full<Bytes>>,
        dial: F,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError>
    where
        F: Future<Output = Result<Dialed, ConnectError>>,
    {
        while let Some(mut connection) = self.take_idle(server) {
            match try_send(&mut connection, req).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendFailure::Unsent(unsent)) => req = *unsent,
                Err(SendFailure::Broken(e)) => return Err(broken(peer, &connection, &e)),
            }
        }
        let mut connection = PooledConnection::new(dial.await?);
        let response = connection.send(peer, req).await?;
        Ok((response, connection))
    }

    /// Returns a connection to the pool after its response body was read to the end.
    /// `keep_alive_ms` is the keep-alive timeout that the server announced.
    pub fn release(
        &self,
        server: ServerKey,
        mut connection: PooledConnection,
        keep_alive_ms: Option<u64>,
    ) {
        let Some(dialed) = connection.dialed.take() else {
            return;
        };
        let keep_alive_ms = keep_alive_ms.map_or(DEFAULT_KEEP_ALIVE_MS, |ms| {
            ms.saturating_sub(KEEP_ALIVE_MARGIN_MS)
        });
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(server).or_default();
        if idle.len() >= MAX_IDLE || dialed.connection.sender.is_closed() {
            dialed.connection.task.abort();
            return;
        }
        idle.push(IdleConnection {
            connection: dialed,
            reusable_until: now().plus_millis(keep_alive_ms),
        });
    }

    /// Closes idle connections that have expired, and those to servers no longer registered.
    pub fn sweep(&self, fleet: &Fleet) {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|server, connections| {
            let is_registered = fleet.get(*server).is_some();
            connections.retain(|idle| {
                let is_reusable = is_registered
                    && idle.reusable_until > now
                    && !idle.connection.connection.sender.is_closed();
                if !is_reusable {
                    idle.connection.connection.task.abort();
                }
                is_reusable
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to a backend server.
    pub fn clear(&self, server: ServerKey) {
        self.close_idle(server, |_| true);
    }

    /// Closes idle connections to a backend server: `closes` says whether to close those that lead
    /// through another router, and whether those that don't.
    pub fn close_idle<F>(&self, server: ServerKey, closes: F)
    where
        F: Fn(bool) -> bool,
    {
        if let Some(idle) = self.idle.borrow_mut().get_mut(&server) {
            idle.retain(|idle| {
                let closes = closes(idle.connection.is_tunnel());
                if closes {
                    idle.connection.connection.task.abort();
                }
                !closes
            });
        }
    }

    fn take_idle(&self, server: ServerKey) -> Option<PooledConnection> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server)?;
        while let Some(IdleConnection {
            connection: dialed,
            reusable_until,
        }) = idle.pop()
        {
            if reusable_until > now && dialed.connection.sender.is_ready() {
                return Some(PooledConnection {
                    dialed: Some(dialed),
                    is_reused: true,
                });
            }
            dialed.connection.task.abort();
        }
        None
    }
}

enum SendFailure {
    Unsent(Box<Request<Full<Bytes>>>),
    Broken(hyper::Error),
}

fn broken(peer: SocketAddr, connection: &PooledConnection, e: &hyper::Error) -> SendError {
    SendError::Broken {
        peer,
        reason: error_chain(e),
        end: match connection.response_end(e) {
            ResponseEnd::Broken(_) => AttemptEnd::BrokenOff,
            ResponseEnd::Whole | ResponseEnd::Unknown(_) => AttemptEnd::Unknown,
        },
        is_reset: io_kind(e) == Some(io::ErrorKind::ConnectionReset),
    }
}

async fn try_send(
    connection: &mut PooledConnection,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendFailure> {
    let dialed = connection
        .dialed
        .as_mut()
        .expect("a connection in use is open");
    let connection = &mut dialed.connection;
    connection.allowance.set(MAX_HEAD_BYTES);
    match connection.sender.try_send_request(req).await {
        Ok(response) => Ok(response),
        Err(mut e) => match e.take_message() {
            Some(unsent) => Err(SendFailure::Unsent(Box::new(unsent))),
            None => Err(SendFailure::Broken(e.into_error())),
        },
    }
}
