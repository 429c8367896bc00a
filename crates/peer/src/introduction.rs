//! The identity that a router sends when it connects.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The identity that a router sends to another one in the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Name of the router's VM.
    pub vm: String,
    /// Address at which the router accepts connections of other routers.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Incarnation of the router, which grows with each start.
    pub incarnation: u64,
}
