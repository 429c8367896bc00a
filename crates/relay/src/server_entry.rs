//! What a backend server says of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// State that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
}

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the backend server.
    pub id: Arc<str>,
    /// Start of its process, in milliseconds of its own clock of day; tells
    /// lifetimes of one id apart.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address of its requests.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State that it reports.
    pub state: ServerState,
    /// Version of the weights of each of its models.
    pub weights: BTreeMap<Arc<str>, u64>,
}
