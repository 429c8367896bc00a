//! How a router introduces itself to another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// How a router introduces itself to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Name of its VM.
    pub vm: String,
    /// Address of its port for other routers.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
}
