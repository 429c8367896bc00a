//! Requests of callers, as the callers see them.

use policy::AttemptId;
use policy::PrefixHash;
use policy::Time;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A streamed completion.
    Stream {
        /// Tokens of the whole answer.
        tokens: u32,
        /// Whether it crashes each engine that runs it.
        crashes: bool,
    },
    /// A booking under this key.
    Booking {
        /// Idempotency key.
        key: String,
    },
    /// An idempotent call of the plain service.
    Lookup,
}

/// Where a stream runs, as its event ids tell the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamLocation {
    /// Engine.
    pub(crate) engine: usize,
    /// Incarnation of the engine.
    pub(crate) incarnation: u64,
    /// Stream at the engine.
    pub(crate) stream: u64,
}

/// A request of a caller, over all its sends.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: RequestKind,
    pub(crate) fingerprint: u64,
    pub(crate) blocks: Vec<PrefixHash>,
    /// Tokens that the caller has of the present answer.
    pub(crate) received: u32,
    pub(crate) stream: Option<StreamLocation>,
    /// Latest attempt of the present send.
    pub(crate) attempt: AttemptId,
    /// Sends so far.
    pub(crate) submissions: u32,
    /// Sends that have no final answer yet.
    pub(crate) pending: u32,
    /// Whether the caller has what it asked for.
    pub(crate) served: bool,
    /// Engines that crashed while they ran it, though it did not crash them.
    pub(crate) co_located: bool,
    /// Whether it was refused for crashing runners.
    pub(crate) refused_as_poison: bool,
    /// Whether the router that sent it last could know of its crashes.
    pub(crate) crashes_knowable: bool,
    pub(crate) deadline: Time,
}
