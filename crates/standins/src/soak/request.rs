//! Requests as their callers see them.

use policy::AttemptId;
use policy::PrefixHash;
use policy::Time;

/// Kind of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A streamed completion.
    Stream {
        /// Length of the complete output, in tokens.
        tokens: u32,
        /// Whether the request crashes each engine that runs it.
        crashes: bool,
    },
    /// A non-idempotent call of the plain service.
    Booking {
        /// Idempotency key, the same for all submissions.
        key: String,
    },
    /// An idempotent call of the plain service.
    Lookup,
}

/// Engine and stream that a caller can resume, known from the stream's event ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamLocation {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Incarnation of the engine.
    pub(crate) incarnation: u64,
    /// Id of the stream at the engine.
    pub(crate) stream: u64,
}

/// A caller's request with the state of all its submissions.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: RequestKind,
    /// Fingerprint of the request's content, the same for all submissions.
    pub(crate) fingerprint: u64,
    /// Hashes of the prompt's prefixes.
    pub(crate) blocks: Vec<PrefixHash>,
    /// Number of tokens of the current output that the caller has received.
    pub(crate) received: u32,
    /// Stream of the latest token, which a submission after a lost connection resumes.
    pub(crate) stream: Option<StreamLocation>,
    /// Latest attempt that a router dispatched for the current submission.
    pub(crate) attempt: AttemptId,
    /// Number of submissions so far.
    pub(crate) submissions: u32,
    /// Number of submissions without a result.
    pub(crate) pending: u32,
    /// Whether the caller has received a complete response.
    pub(crate) served: bool,
    /// Whether another request crashed an engine that was running this one.
    pub(crate) co_located: bool,
    /// Whether the request was refused for crashing engines.
    pub(crate) refused_as_poison: bool,
    /// Whether the router that dispatched it last could know of all its engine crashes.
    pub(crate) crashes_knowable: bool,
    /// Deadline of the call; each submission has at least 2 s from its arrival.
    pub(crate) deadline: Time,
}
