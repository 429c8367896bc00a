//! Status that each router publishes in the key-value service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Prefix of the keys under which routers publish their status; the VM name follows, and each
/// key is bound to a lease.
pub const ROUTER_STATUS_PREFIX: &str = "routers/";

/// Status of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterStatus {
    /// Name of the VM on which the router runs.
    pub vm: String,
    /// Incarnation, which increases with each start of the process.
    pub incarnation: u64,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Version of the active configuration, 0 if there is none.
    pub version: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}
