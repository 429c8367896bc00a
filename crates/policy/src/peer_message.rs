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
        /// Its version.
        version: u64,
        /// What it says.
        config: Arc<Config>,
    },
    /// What has changed since the version before.
    ConfigDelta(Arc<ConfigDelta>),
    /// The version in force at the sender, for peers that lag behind.
    Version(u64),
    /// Backend servers that are leaving; marks are only ever added.
    Leaving(Vec<ServerInstance>),
    /// Runners that broke while they ran a request.
    Strikes(Vec<Strike>),
    /// Load of a cell, from its owner.
    CellLoad(Vec<CellLoad>),
    /// Asks the owner of a cell for a runner.
    Place(PlacementQuery),
    /// The owner's answer.
    Placed(Placed),
    /// Asks for all that a restarted router needs.
    SnapshotRequest,
    /// All that a restarted router needs.
    Snapshot(Box<Snapshot>),
}

/// An incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the server.
    pub server: String,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// A runner that broke while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Runner that broke.
    pub mark: ServerInstance,
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// Whether the request was on trial there, the only struck one.
    pub on_trial: bool,
}

/// Load of a cell of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellLoad {
    /// Cell, by the hash of its region, model and number.
    pub cell: u64,
    /// Mean of the prompt tokens queued at a server.
    pub queued_tokens: u32,
    /// Tokens queued at the least loaded server.
    pub least_queued_tokens: u32,
}

/// Asks the owner of a cell for a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementQuery {
    /// Name of the request at the asker.
    pub ticket: u64,
    /// Cell.
    pub cell: u64,
    /// Keys of the prompt's pieces.
    pub pieces: Vec<BlockKey>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Rank of the priority class.
    pub rank: u8,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Workspace, by its name.
    pub workspace: String,
    /// Model, by its name.
    pub model: String,
    /// Servers that failed it already.
    pub avoid: Vec<String>,
}

/// The owner's answer to a [`PlacementQuery`].
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Name of the request at the asker.
    pub ticket: u64,
    /// Runner to send it to, none if the owner knows none.
    pub server: Option<ServerInstance>,
    /// Server from which missing pieces are to be fetched.
    pub fetch_from: Option<ServerInstance>,
    /// Prompt tokens that are expected in the cache.
    pub expected_cached_tokens: u32,
    /// Milliseconds for which the request is expected to wait.
    pub expected_wait_ms: u32,
}

/// All that a restarted router needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Configuration in force with its version.
    pub config: Option<(u64, Arc<Config>)>,
    /// Servers that are leaving.
    pub leaving: Vec<ServerInstance>,
    /// Strikes.
    pub strikes: Vec<Strike>,
    /// Loads of cells.
    pub cells: Vec<CellLoad>,
}
