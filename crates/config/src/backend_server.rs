//! The declaration of a backend server.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A backend server, which runs one model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address at which the engine accepts requests.
    pub address: SocketAddr,
    /// Region in which the server is located.
    pub region: String,
    /// Failure domain of the server: servers of one domain may fail together.
    pub failure_domain: String,
    /// Models that the server may serve.
    pub models: Vec<String>,
    /// Workspaces that the server may serve; empty for all.
    #[serde(default)]
    pub workspaces: Vec<String>,
    /// Whether the engine rejects a load order whose fencing token is outdated.
    #[serde(default)]
    pub checks_fencing: bool,
}
