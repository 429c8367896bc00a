//! An open connection to a backend server, and the way that it takes.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;

use crate::connection::Connection;

/// Way that a connection to a backend server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionPath {
    /// Opened by this router.
    Direct,
    /// Through the router at this address.
    Through(SocketAddr),
}

/// A connection to a backend server.
pub struct Dialed {
    /// The connection.
    pub connection: Connection<Full<Bytes>>,
    /// Way that it takes.
    pub path: ConnectionPath,
}

impl Dialed {
    /// Returns whether it leads through another router.
    pub fn is_tunnel(&self) -> bool {
        self.path != ConnectionPath::Direct
    }
}
