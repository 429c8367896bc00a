//! What happens to a router.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Config;

use crate::AttemptId;
use crate::BlockKey;
use crate::CallId;
use crate::CallRequest;
use crate::Incarnation;
use crate::OpId;
use crate::PeerMessage;
use crate::StoreResult;
use crate::StoredResponse;
use crate::Time;

/// Something that happened, for [`crate::Node::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request has arrived.
    Call(Box<CallRequest>),
    /// A caller has gone away.
    CallerGone(CallId),
    /// A backend server, or the way to it, said something of an attempt.
    Backend {
        /// Call.
        call: CallId,
        /// Attempt of the call.
        attempt: AttemptId,
        /// What it said.
        report: BackendReport,
    },
    /// A load report of an engine.
    Load(LoadReport),
    /// Changes of an engine's cache.
    Cache(CacheReport),
    /// The membership list.
    Members(Vec<Member>),
    /// A configuration, from the platform.
    Config {
        /// Its version.
        version: u64,
        /// What it says.
        config: Arc<Config>,
    },
    /// A message of another router, by the name of its VM.
    Peer {
        /// VM that sent it.
        from: String,
        /// Message.
        message: PeerMessage,
    },
    /// The result of a call to the key-value service.
    Store {
        /// Call to the service.
        op: OpId,
        /// Its result.
        result: StoreResult,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// Name of the backend server.
        server: String,
        /// Fencing number of the order.
        fencing: u64,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// The VM is to stop by this time.
    Shutdown {
        /// Time by which calls in flight must have ended.
        deadline: Time,
    },
    /// A deadline that [`crate::Node::next_deadline`] named has come.
    Tick,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReport {
    /// The engine began, before its first token.
    Started {
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Prompt tokens that it found in its cache.
        cached_tokens: u64,
    },
    /// The first token was passed on to the caller.
    FirstToken,
    /// The stream ended with its last token.
    Finished {
        /// Tokens that were generated.
        output_tokens: u32,
    },
    /// A plain service answered.
    Responded(StoredResponse),
    /// The attempt failed.
    Failed {
        /// How.
        failure: Failure,
        /// Tokens passed on to the caller, over all attempts.
        delivered: u32,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Failure {
    /// No connection was made; no byte was sent.
    NotConnected,
    /// Refused before anything ran: the server is leaving.
    Leaving,
    /// Refused before anything ran: too much queued.
    Overloaded,
    /// Refused before anything ran: another incarnation than asked for.
    StaleIncarnation,
    /// Refused before anything ran: other weights than asked for.
    StaleWeights,
    /// Refused before anything ran, for another reason.
    Refused,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Nothing came for too long.
    Stalled,
}

impl Failure {
    /// Tells whether the server certainly ran nothing of the attempt.
    pub fn never_ran(self) -> bool {
        !matches!(self, Failure::Broken | Failure::Stalled)
    }

    /// Returns the word for it in counters.
    pub fn name(self) -> &'static str {
        match self {
            Failure::NotConnected => "not_connected",
            Failure::Leaving => "leaving",
            Failure::Overloaded => "overloaded",
            Failure::StaleIncarnation => "stale_incarnation",
            Failure::StaleWeights => "stale_weights",
            Failure::Refused => "refused",
            Failure::Broken => "broken",
            Failure::Stalled => "stalled",
        }
    }
}

/// Load of an engine as of `at`.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Time that the report speaks of.
    pub at: Time,
    /// Prompt tokens that wait for computation.
    pub queued_tokens: u64,
    /// Generations that run.
    pub running: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Weights that it holds and serves, none if it doesn't say.
    pub weights: Option<Vec<HeldWeights>>,
}

impl LoadReport {
    /// Tells whether the engine holds these weights.
    pub fn holds(&self, model: &str, version: u64) -> bool {
        self.weights
            .iter()
            .flatten()
            .any(|held| held.model == model && held.version == version)
    }
}

/// Weights that an engine holds and serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldWeights {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Taken; the engine is loading, or holds the weights already.
    Taken,
    /// Refused: it has seen this higher fencing number.
    StaleFencing(u64),
}

/// Changes of an engine's cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheReport {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number of the first change; a gap means that some were lost.
    pub first_sequence: u64,
    /// Changes in order.
    pub changes: Vec<CacheChange>,
}

/// A change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece is held now.
    Stored(BlockKey),
    /// A piece is held no more.
    Evicted(BlockKey),
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// What it is for.
    pub role: MemberRole,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// A VM of the system.
    Router,
    /// A backend server.
    BackendServer,
}
