//! State of a router that its tasks share.

use std::sync::Arc;

use config::Config;

/// State of a router that its tasks share, published through a watch channel.
#[derive(Clone, Debug, Default)]
pub struct RouterState {
    /// Version of the configuration in force, 0 if there is none yet.
    pub version: u64,
    /// Configuration in force, `None` if there is none yet.
    pub config: Option<Arc<Config>>,
    /// Whether the router is shutting down or has failed.
    pub leaving: bool,
    /// Whether all calls have ended after the shutdown began.
    pub stopped: bool,
    /// Whether the node's actor has panicked, so that no call can be decided.
    pub failed: bool,
}

impl RouterState {
    /// Returns whether new requests should be sent to this router, for readiness probes. A router
    /// that is leaving still accepts requests during its notice period, but is not ready.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && !self.leaving
    }
}
