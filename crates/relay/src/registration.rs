//! Registration of a backend server, as it reports itself to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// State that a backend server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Registration of one incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the backend server.
    pub id: Arc<str>,
    /// Start time of the process by its own wall clock, in milliseconds; distinguishes
    /// incarnations with the same id.
    pub started_ms: u64,
    /// Name of the service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Number of requests that it executes at a time.
    pub slots: u32,
    /// Version of its software.
    pub build: Arc<str>,
    /// State that it reports of itself.
    pub state: ServerState,
    /// Version of the weights of each of its models; empty for a plain service.
    pub weights: BTreeMap<Arc<str>, u64>,
}
