//! What a router is to do.

use std::net::SocketAddr;

use crate::AttemptId;
use crate::CallId;
use crate::Failure;
use crate::Incarnation;
use crate::OpId;
use crate::PeerMessage;
use crate::Refusal;
use crate::ServerKey;
use crate::StoreRequest;
use crate::StoredResponse;
use crate::Time;

/// Something to do, from [`crate::Node::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a call to a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt that is no longer wanted.
    Cancel(Attempt),
    /// Give the final answer to a call that is not served.
    Refuse {
        /// Call.
        call: CallId,
        /// Answer.
        refusal: Refusal,
    },
    /// Give the answer of a plain service.
    Respond {
        /// Call.
        call: CallId,
        /// Answer, the first one when this is a repeat.
        answer: StoredResponse,
        /// Whether the call ran earlier and this is its first answer again.
        replayed: bool,
    },
    /// Count a retry.
    Retried {
        /// Call.
        call: CallId,
        /// What went before it.
        failure: Failure,
    },
    /// Count a message that was dropped: a late answer of an earlier attempt.
    LateReport {
        /// Call.
        call: CallId,
        /// Attempt that spoke.
        attempt: AttemptId,
    },
    /// Call the key-value service.
    Store {
        /// Name under which the result is to be handed in.
        op: OpId,
        /// Call.
        request: StoreRequest,
    },
    /// Send a message to another router.
    SendPeer {
        /// VM to send it to.
        to: String,
        /// Address of its peers' port.
        address: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// A configuration is in force from now on.
    ConfigApplied {
        /// Its version.
        version: u64,
    },
    /// Watch the load and cache events of these engines, and of no others.
    Watch(Vec<ServerKey>),
    /// Give an order to an engine.
    Order(Order),
    /// All calls have ended; the VM may stop.
    Stopped,
}

/// An absolute order to an engine, safe to repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the backend server.
    pub server: String,
    /// Its address.
    pub address: SocketAddr,
    /// Fencing number under which the order is given.
    pub fencing: u64,
    /// Model that the engine shall serve.
    pub model: String,
    /// Weights that it shall hold.
    pub weights_version: u64,
    /// Time after which the order must not be sent any more.
    pub deadline: Time,
}

/// An attempt of a call at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Call.
    pub call: CallId,
    /// Attempt of it.
    pub attempt: AttemptId,
    /// Where.
    pub server: ServerKey,
}

/// An attempt to send, with what it relies on.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// What is sent where.
    pub at: Attempt,
    /// Name of the server.
    pub server_name: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation that the decision relies on; the engine refuses another. 0 for any.
    pub incarnation: Incarnation,
    /// Weights that must serve it; the engine refuses others. 0 for any, and
    /// for a plain service.
    pub weights_version: u64,
    /// Workspace, by its name.
    pub workspace: String,
    /// Rank of the priority class.
    pub rank: u8,
    /// Tokens already delivered, after which the attempt goes on.
    pub resume_after: u32,
    /// Server from which the engine is to fetch the KV cache of missing pieces.
    pub fetch_from: Option<FetchFrom>,
    /// Prompt tokens that are expected in the cache.
    pub expected_cached_tokens: u64,
}

/// A server that holds pieces another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFrom {
    /// Address of the holder.
    pub address: SocketAddr,
    /// Incarnation of the holder; the import fails on another.
    pub incarnation: Incarnation,
}
