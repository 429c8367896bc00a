//! What a router's tasks need to know of the router.

use std::sync::Arc;

use config::Config;

/// What a router's tasks need to know of the router.
#[derive(Clone, Debug, Default)]
pub struct RouterState {
    /// Version of the configuration in force, 0 for none.
    pub version: u64,
    /// Configuration in force.
    pub config: Option<Arc<Config>>,
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Whether all calls have ended after that.
    pub stopped: bool,
    /// Whether the node has panicked, so that no call can be decided on.
    pub failed: bool,
}

impl RouterState {
    /// Tells whether the router is to be sent new requests.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && !self.leaving
    }
}
