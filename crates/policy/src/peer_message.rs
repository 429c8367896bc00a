//! Messages between routers.

use std::sync::Arc;

use config::Config;
use serde::Deserialize;
use serde::Serialize;

use crate::BlockKey;
use crate::ConfigDelta;
use crate::Incarnation;

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A configuration in force at the sender.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Content of the configuration.
        config: Arc<Config>,
    },
    /// The difference between two versions that were in force one after the other.
    ConfigDelta(Arc<ConfigDelta>),
    /// The version in force at the sender, so that the receiver can send or
    /// request what is missing.
    Version(u64),
    /// Backend servers that are leaving. A receiver only ever adds entries.
    Leaving(Vec<ServerInstance>),
    /// Records of requests that were in flight on an engine when it failed.
    Strikes(Vec<Strike>),
    /// Loads of cells, from their owner.
    CellLoad(Vec<CellLoad>),
    /// Query to the owner of a cell for an engine.
    Place(PlacementQuery),
    /// Response of the owner to a [`PlacementQuery`].
    Placed(Placed),
    /// Request for the state that a restarted router needs.
    SnapshotRequest,
    /// The state that a restarted router needs.
    Snapshot(Box<Snapshot>),
}

/// A backend server in one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
}

/// A record that a request was in flight on an engine when the engine failed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Engine that failed.
    pub mark: ServerInstance,
    /// Time of the failure, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Whether the request was in quarantine there, so that no other request
    /// with strikes ran on the engine.
    pub on_trial: bool,
}

/// Load of a cell of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellLoad {
    /// Id of the cell, a hash of its region, models, workspaces and number.
    pub cell: u64,
    /// Mean of the prompt tokens queued per engine.
    pub queued_tokens: u32,
    /// Prompt tokens queued on the least loaded engine.
    pub least_queued_tokens: u32,
}

/// Query to the owner of a cell for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementQuery {
    /// Id of the query, chosen by the sender.
    pub ticket: u64,
    /// Id of the cell.
    pub cell: u64,
    /// Keys of the prompt's blocks.
    pub pieces: Vec<BlockKey>,
    /// Number of tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// Rank of the priority class.
    pub rank: u8,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the model.
    pub model: String,
    /// Names of the servers at which the request has failed.
    pub avoid: Vec<String>,
}

/// Response of the owner to a [`PlacementQuery`].
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Id of the query.
    pub ticket: u64,
    /// Engine to send the request to; none if the owner has none available.
    pub server: Option<ServerInstance>,
    /// Server from which the engine fetches the blocks it lacks.
    pub fetch_from: Option<ServerInstance>,
    /// Prompt tokens expected to be in the engine's cache or fetched into it.
    pub expected_cached_tokens: u32,
    /// Expected wait of the request, in milliseconds.
    pub expected_wait_ms: u32,
}

/// The state that a restarted router needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Version and content of the configuration in force.
    pub config: Option<(u64, Arc<Config>)>,
    /// Servers that are leaving.
    pub leaving: Vec<ServerInstance>,
    /// All strikes that the sender knows.
    pub strikes: Vec<Strike>,
    /// Last announced loads of cells.
    pub cells: Vec<CellLoad>,
}
