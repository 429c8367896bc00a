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
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Whether all calls have ended after the shutdown began.
    pub stopped: bool,
    /// Whether the node's actor has panicked, so that no call can be decided.
    pub failed: bool,
}

impl RouterState {
    /// Returns whether the router accepts new requests, which is its response to readiness probes.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && !self.leaving
    }
}
