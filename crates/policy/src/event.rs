//! Events that a [`crate::Node`] handles.

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

/// An event for [`crate::Node::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request from a caller has arrived.
    Call(Box<CallRequest>),
    /// The caller has disconnected.
    CallerGone(CallId),
    /// An attempt has made progress, ended or failed.
    Backend {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Number of the attempt within the call.
        attempt: AttemptId,
        /// What happened.
        report: BackendReport,
    },
    /// An engine has reported its load.
    Load(LoadReport),
    /// An engine has reported changes of its cache.
    Cache(CacheReport),
    /// The membership list has been read.
    Members(Vec<Member>),
    /// The platform has published a configuration.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Content of the configuration.
        config: Arc<Config>,
    },
    /// Another router has sent a message.
    Peer {
        /// Name of the sender's VM.
        from: String,
        /// Message received.
        message: PeerMessage,
    },
    /// A request to the key-value service has ended.
    Store {
        /// Id from [`crate::Action::Store`].
        op: OpId,
        /// Result of the request.
        result: StoreResult,
    },
    /// An engine has responded to an order.
    OrderAnswered {
        /// Name of the backend server.
        server: String,
        /// Fencing token of the order.
        fencing: u64,
        /// Response of the engine.
        response: OrderResponse,
    },
    /// The VM must stop by a deadline.
    Shutdown {
        /// Time by which calls in flight must have ended.
        deadline: Time,
    },
    /// The time returned by [`crate::Node::next_deadline`] has come.
    Tick,
}

/// Progress, end or failure of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReport {
    /// The engine has accepted the request and not yet sent a token.
    Started {
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Prompt tokens that it found in its cache.
        cached_tokens: u64,
    },
    /// The first token was forwarded to the caller.
    FirstToken,
    /// The stream ended with its last token.
    Finished {
        /// Number of tokens generated.
        output_tokens: u32,
    },
    /// A plain service has responded.
    Responded(StoredResponse),
    /// The attempt failed.
    Failed {
        /// Kind of the failure.
        failure: Failure,
        /// Number of tokens forwarded to the caller, over all attempts.
        delivered: u32,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Failure {
    /// No connection was established and no byte was sent.
    NotConnected,
    /// Refused before execution: the server is leaving.
    Leaving,
    /// Refused before execution: too much work is queued.
    Overloaded,
    /// Refused before execution: the engine has another incarnation than requested.
    StaleIncarnation,
    /// Refused before execution: the engine holds other weights than requested.
    StaleWeights,
    /// Refused before execution for another reason.
    Refused,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// The server has been unresponsive for too long.
    Stalled,
}

impl Failure {
    /// Returns whether the server has certainly not executed the attempt.
    pub fn never_ran(self) -> bool {
        !matches!(self, Failure::Broken | Failure::Stalled)
    }

    /// Returns the name used in metrics.
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

/// Load of an engine at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Time at which the load was measured.
    pub at: Time,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Number of running generations.
    pub running: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Weights that the engine holds and serves; none if it does not report them.
    pub weights: Option<Vec<HeldWeights>>,
}

impl LoadReport {
    /// Returns whether the engine holds this version of the model's weights.
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
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// Accepted: the engine is loading the weights or holds them already.
    Taken,
    /// Refused: the engine has received this higher fencing token before.
    StaleFencing(u64),
}

/// Changes of an engine's cache, in the order in which they happened.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheReport {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number of the first change; a gap to the previous report means
    /// that changes were lost.
    pub first_sequence: u64,
    /// Changes in order.
    pub changes: Vec<CacheChange>,
}

/// A change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A block is now held.
    Stored(BlockKey),
    /// A block is no longer held.
    Evicted(BlockKey),
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Role of the VM in the system.
    pub role: MemberRole,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Runs a router.
    Router,
    /// Runs a backend server or service replica.
    BackendServer,
}
