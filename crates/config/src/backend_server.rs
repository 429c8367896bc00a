//! Backend servers that run model engines.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A backend server that runs a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Region in which it stands.
    pub region: String,
    /// Failure domain in which it stands.
    pub failure_domain: String,
    /// Models that it may serve.
    pub models: Vec<String>,
    /// Workspaces that it may serve; empty for all.
    #[serde(default)]
    pub workspaces: Vec<String>,
    /// Whether its engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}
