//! What each router publishes of itself in the key-value service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Prefix of the keys under which routers publish their status, by VM, each bound to a lease.
pub const ROUTER_STATUS_PREFIX: &str = "routers/";

/// Status of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterStatus {
    /// Name of its VM.
    pub vm: String,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
    /// Address of its callers' port.
    pub address: SocketAddr,
    /// Version of the configuration in force, 0 for none.
    pub version: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}
