//! Actions that a [`crate::Node`] asks its caller to perform.

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

/// An action to perform, returned by [`crate::Node::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a call to a backend server.
    Dispatch(Dispatch),
    /// Cancel an attempt that is no longer needed.
    Cancel(Attempt),
    /// Send the final response to a call that is not served.
    Refuse {
        /// Call to respond to.
        call: CallId,
        /// Reason, outcome and retry time to report.
        refusal: Refusal,
    },
    /// Send the response of a plain service to the caller.
    Respond {
        /// Call to respond to.
        call: CallId,
        /// The service's response; the recorded first one if `replayed` is set.
        response: StoredResponse,
        /// Whether the call ran earlier and `response` is its recorded response.
        replayed: bool,
    },
    /// Count a retry.
    Retried {
        /// Call that is retried.
        call: CallId,
        /// Failure of the preceding attempt.
        failure: Failure,
    },
    /// Count a dropped report of an earlier attempt.
    LateReport {
        /// Call that the report belongs to.
        call: CallId,
        /// Attempt that sent the report.
        attempt: AttemptId,
    },
    /// Send a request to the key-value service.
    Store {
        /// Id to return with the result in [`crate::Event::Store`].
        op: OpId,
        /// Request to send.
        request: StoreRequest,
    },
    /// Send a message to another router.
    SendPeer {
        /// Name of the VM to send it to.
        to: String,
        /// Address at which that router accepts peer connections.
        address: SocketAddr,
        /// Message to send.
        message: PeerMessage,
    },
    /// Note that a new configuration is in force.
    ConfigApplied {
        /// Version of the configuration.
        version: u64,
    },
    /// Subscribe to the load and cache events of these engines, and of no others.
    Watch(Vec<ServerKey>),
    /// Send an order to an engine.
    Order(Order),
    /// All calls have ended and the VM may stop.
    Stopped,
}

/// An order that names the weights an engine must hold; it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the backend server.
    pub server: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Fencing token of the loading slot under which the order is sent.
    pub fencing: u64,
    /// Model that the engine must serve.
    pub model: String,
    /// Version of the weights that the engine must hold.
    pub weights_version: u64,
    /// Time after which the order must not be sent.
    pub deadline: Time,
}

/// An attempt of a call at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt within the call.
    pub attempt: AttemptId,
    /// Backend server or service replica that the attempt goes to.
    pub server: ServerKey,
}

/// An attempt to send, with the conditions it depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Call, attempt number and server.
    pub at: Attempt,
    /// Name of the server.
    pub server_name: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation that the decision was made for; an engine of another
    /// incarnation refuses the attempt. 0 accepts any.
    pub incarnation: Incarnation,
    /// Version of the weights that must serve it; an engine with others refuses
    /// the attempt. 0 accepts any, and is used for plain services.
    pub weights_version: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Rank of the priority class.
    pub rank: u8,
    /// Number of tokens already delivered to the caller; generation resumes after them.
    pub resume_after: u32,
    /// Server from which the engine fetches the KV cache of the blocks it lacks.
    pub fetch_from: Option<FetchFrom>,
    /// Prompt tokens expected to be in the engine's cache or fetched into it.
    pub expected_cached_tokens: u64,
}

/// A server that holds cached blocks which another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFrom {
    /// Address of the server that holds the blocks.
    pub address: SocketAddr,
    /// Incarnation of that server; the import fails on another.
    pub incarnation: Incarnation,
}
