//! The encoding of messages between routers.
//!
//! bincode writes fields and variants by position: none may be moved, added or
//! removed. A configuration is encoded as JSON inside the message.

use std::sync::Arc;

use config::Config;
use policy::BlockKey;
use policy::CellLoad;
use policy::ConfigDelta;
use policy::Incarnation;
use policy::PeerMessage;
use policy::Placed;
use policy::PlacementQuery;
use policy::ServerInstance;
use policy::Snapshot;
use policy::Strike;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// A received message that cannot be decoded.
#[derive(Debug, Snafu)]
pub enum BadMessage {
    /// The JSON of a configuration or of a configuration delta does not parse.
    #[snafu(display("configuration version {version}: {source}"))]
    Config {
        /// Version that the message states.
        version: u64,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The encoding of a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WireMessage {
    /// A configuration in force at the sender.
    Config(WireConfig),
    /// The difference between two versions of the configuration.
    ConfigDelta(WireConfigDelta),
    /// The version of the configuration in force at the sender.
    Version(u64),
    /// Backend servers that are leaving.
    Leaving(Vec<WireServerInstance>),
    /// Records of requests that were in flight on an engine when it failed.
    Strikes(Vec<WireStrike>),
    /// Loads of cells, from their owner.
    CellLoad(Vec<WireCellLoad>),
    /// Query to the owner of a cell for an engine.
    Place(WirePlacementQuery),
    /// Response of the owner to `Place`.
    Placed(WirePlaced),
    /// Request for the state that a restarted router needs.
    SnapshotRequest,
    /// The state that a restarted router needs.
    Snapshot(WireSnapshot),
}

/// The encoding of a configuration with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireConfig {
    version: u64,
    json: Vec<u8>,
}

/// The encoding of a [`ConfigDelta`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireConfigDelta {
    version: u64,
    json: Vec<u8>,
}

/// The encoding of a [`ServerInstance`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireServerInstance {
    server: String,
    incarnation: u64,
}

/// The encoding of a [`Strike`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireStrike {
    fingerprint: u64,
    mark: WireServerInstance,
    at_ms: u64,
    /// Whether the request ran on the engine as a quarantined retry.
    on_trial: bool,
}

/// The encoding of a [`CellLoad`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireCellLoad {
    cell: u64,
    queued_tokens: u32,
    least_queued_tokens: u32,
}

/// The encoding of a [`PlacementQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WirePlacementQuery {
    ticket: u64,
    cell: u64,
    pieces: Vec<u64>,
    prompt_tokens: u32,
    rank: u8,
    fingerprint: u64,
    workspace: String,
    model: String,
    avoid: Vec<String>,
}

/// The encoding of a [`Placed`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WirePlaced {
    ticket: u64,
    server: Option<WireServerInstance>,
    fetch_from: Option<WireServerInstance>,
    expected_cached_tokens: u32,
    expected_wait_ms: u32,
}

/// The encoding of a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireSnapshot {
    config: Option<WireConfig>,
    leaving: Vec<WireServerInstance>,
    strikes: Vec<WireStrike>,
    cells: Vec<WireCellLoad>,
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> WireMessage {
        match message {
            PeerMessage::Config { version, config } => {
                WireMessage::Config(WireConfig::new(*version, config))
            }
            PeerMessage::ConfigDelta(delta) => WireMessage::ConfigDelta(delta.as_ref().into()),
            PeerMessage::Version(version) => WireMessage::Version(*version),
            PeerMessage::Leaving(servers) => WireMessage::Leaving(to_wire_list(servers)),
            PeerMessage::Strikes(strikes) => WireMessage::Strikes(to_wire_list(strikes)),
            PeerMessage::CellLoad(loads) => WireMessage::CellLoad(to_wire_list(loads)),
            PeerMessage::Place(req) => WireMessage::Place(req.into()),
            PeerMessage::Placed(placed) => WireMessage::Placed(placed.into()),
            PeerMessage::SnapshotRequest => WireMessage::SnapshotRequest,
            PeerMessage::Snapshot(snapshot) => WireMessage::Snapshot(snapshot.as_ref().into()),
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = BadMessage;

    fn try_from(message: WireMessage) -> Result<PeerMessage, BadMessage> {
        Ok(match message {
            WireMessage::Config(config) => PeerMessage::Config {
                version: config.version,
                config: config.parse()?,
            },
            WireMessage::ConfigDelta(delta) => PeerMessage::ConfigDelta(Arc::new(delta.parse()?)),
            WireMessage::Version(version) => PeerMessage::Version(version),
            WireMessage::Leaving(servers) => PeerMessage::Leaving(from_wire_list(servers)),
            WireMessage::Strikes(strikes) => PeerMessage::Strikes(from_wire_list(strikes)),
            WireMessage::CellLoad(loads) => PeerMessage::CellLoad(from_wire_list(loads)),
            WireMessage::Place(req) => PeerMessage::Place(req.into()),
            WireMessage::Placed(placed) => PeerMessage::Placed(placed.into()),
            WireMessage::SnapshotRequest => PeerMessage::SnapshotRequest,
            WireMessage::Snapshot(snapshot) => {
                PeerMessage::Snapshot(Box::new(snapshot.try_into()?))
            }
        })
    }
}

impl From<&ConfigDelta> for WireConfigDelta {
    fn from(delta: &ConfigDelta) -> WireConfigDelta {
        WireConfigDelta {
            version: delta.version,
            json: serde_json::to_vec(delta).expect("a delta serializes to JSON"),
        }
    }
}

impl WireConfigDelta {
    fn parse(self) -> Result<ConfigDelta, BadMessage> {
        serde_json::from_slice(&self.json).context(ConfigSnafu {
            version: self.version,
        })
    }
}

impl WireConfig {
    fn new(version: u64, config: &Config) -> WireConfig {
        let json = serde_json::to_vec(config).expect("a configuration serializes to JSON");
        WireConfig { version, json }
    }

    fn parse(&self) -> Result<Arc<Config>, BadMessage> {
        let version = self.version;
        let config = serde_json::from_slice(&self.json).context(ConfigSnafu { version })?;
        Ok(Arc::new(config))
    }
}

impl From<&ServerInstance> for WireServerInstance {
    fn from(instance: &ServerInstance) -> WireServerInstance {
        WireServerInstance {
            server: instance.server.clone(),
            incarnation: instance.incarnation.0,
        }
    }
}

impl From<WireServerInstance> for ServerInstance {
    fn from(instance: WireServerInstance) -> ServerInstance {
        ServerInstance {
            server: instance.server,
            incarnation: Incarnation(instance.incarnation),
        }
    }
}

impl From<&Strike> for WireStrike {
    fn from(strike: &Strike) -> WireStrike {
        WireStrike {
            fingerprint: strike.fingerprint,
            mark: (&strike.mark).into(),
            at_ms: strike.at_ms,
            on_trial: strike.on_trial,
        }
    }
}

impl From<WireStrike> for Strike {
    fn from(strike: WireStrike) -> Strike {
        Strike {
            fingerprint: strike.fingerprint,
            mark: strike.mark.into(),
            at_ms: strike.at_ms,
            on_trial: strike.on_trial,
        }
    }
}

impl From<&CellLoad> for WireCellLoad {
    fn from(load: &CellLoad) -> WireCellLoad {
        WireCellLoad {
            cell: load.cell,
            queued_tokens: load.queued_tokens,
            least_queued_tokens: load.least_queued_tokens,
        }
    }
}

impl From<WireCellLoad> for CellLoad {
    fn from(load: WireCellLoad) -> CellLoad {
        CellLoad {
            cell: load.cell,
            queued_tokens: load.queued_tokens,
            least_queued_tokens: load.least_queued_tokens,
        }
    }
}

impl From<&PlacementQuery> for WirePlacementQuery {
    fn from(req: &PlacementQuery) -> WirePlacementQuery {
        WirePlacementQuery {
            ticket: req.ticket,
            cell: req.cell,
            pieces: req.pieces.iter().map(|block| block.0).collect(),
            prompt_tokens: req.prompt_tokens,
            rank: req.rank,
            fingerprint: req.fingerprint,
            workspace: req.workspace.clone(),
            model: req.model.clone(),
            avoid: req.avoid.clone(),
        }
    }
}

impl From<WirePlacementQuery> for PlacementQuery {
    fn from(req: WirePlacementQuery) -> PlacementQuery {
        PlacementQuery {
            ticket: req.ticket,
            cell: req.cell,
            pieces: req.pieces.into_iter().map(BlockKey).collect(),
            prompt_tokens: req.prompt_tokens,
            rank: req.rank,
            fingerprint: req.fingerprint,
            workspace: req.workspace,
            model: req.model,
            avoid: req.avoid,
        }
    }
}

impl From<&Placed> for WirePlaced {
    fn from(placed: &Placed) -> WirePlaced {
        WirePlaced {
            ticket: placed.ticket,
            server: placed.server.as_ref().map(From::from),
            fetch_from: placed.fetch_from.as_ref().map(From::from),
            expected_cached_tokens: placed.expected_cached_tokens,
            expected_wait_ms: placed.expected_wait_ms,
        }
    }
}

impl From<WirePlaced> for Placed {
    fn from(placed: WirePlaced) -> Placed {
        Placed {
            ticket: placed.ticket,
            server: placed.server.map(From::from),
            fetch_from: placed.fetch_from.map(From::from),
            expected_cached_tokens: placed.expected_cached_tokens,
            expected_wait_ms: placed.expected_wait_ms,
        }
    }
}

impl From<&Snapshot> for WireSnapshot {
    fn from(snapshot: &Snapshot) -> WireSnapshot {
        let config = snapshot.config.as_ref();
        WireSnapshot {
            config: config.map(|(version, config)| WireConfig::new(*version, config)),
            leaving: to_wire_list(&snapshot.leaving),
            strikes: to_wire_list(&snapshot.strikes),
            cells: to_wire_list(&snapshot.cells),
        }
    }
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = BadMessage;

    fn try_from(snapshot: WireSnapshot) -> Result<Snapshot, BadMessage> {
        let config = match snapshot.config {
            Some(config) => Some((config.version, config.parse()?)),
            None => None,
        };
        Ok(Snapshot {
            config,
            leaving: from_wire_list(snapshot.leaving),
            strikes: from_wire_list(snapshot.strikes),
            cells: from_wire_list(snapshot.cells),
        })
    }
}

fn to_wire_list<'a, T, W>(items: &'a [T]) -> Vec<W>
where
    W: From<&'a T>,
{
    items.iter().map(From::from).collect()
}

fn from_wire_list<W, T>(items: Vec<W>) -> Vec<T>
where
    T: From<W>,
{
    items.into_iter().map(From::from).collect()
}
