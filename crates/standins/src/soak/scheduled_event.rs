//! Events in the simulation's queue.

use policy::AttemptId;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::OpId;
use policy::PeerMessage;
use policy::Refusal;
use policy::StoreRequest;
use policy::StoredResponse;

use crate::soak::engine::Token;

/// One execution of the router process on a VM. Its `Debug` text appears in traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Boot {
    /// Index of the VM.
    pub(crate) router: usize,
    /// Number of earlier executions on that VM.
    pub(crate) boot: u64,
}

/// A router's connection to a backend server, used for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Conn {
    pub(crate) from: Boot,
    pub(crate) call: CallId,
    pub(crate) attempt: AttemptId,
}

/// Result that a caller receives for one submission of its request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerResult {
    /// The router refused the request or gave up on it.
    Refused(Refusal),
    /// Response of a plain service; `replayed` if the router had stored it earlier.
    Responded {
        response: StoredResponse,
        replayed: bool,
    },
    /// The stream ended after its last token.
    Ended,
    /// The connection to the router failed or broke.
    ConnectionLost,
}

/// Event in the simulation's queue. Bare numbers are indices of routers, engines or
/// replicas; `request` is the id of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ScheduledEvent {
    /// A router's process receives an event.
    RouterEvent(Boot, Event),
    /// A router receives a message of another router.
    Peer {
        to: usize,
        from: usize,
        message: PeerMessage,
    },
    /// A timer of a router's process expires.
    Tick(Boot),
    /// A submitted request arrives at a router.
    Submit { request: u64, router: usize },
    /// A caller receives the result of a submission.
    CallerResult { request: u64, result: CallerResult },
    /// A new request is created.
    NewRequest,
    /// An engine receives an attempt.
    EngineStart {
        conn: Conn,
        dispatch: Dispatch,
        request: u64,
    },
    /// An engine receives the cancellation of an attempt.
    EngineCancel { conn: Conn, engine: usize },
    /// An engine of this incarnation computes one step of its batch.
    EngineStep { engine: usize, incarnation: u64 },
    /// A leaving engine shuts down.
    EngineRemoved(usize),
    /// An engine restarts without streams.
    EngineUp(usize),
    /// A router receives a token.
    Token { conn: Conn, token: Token },
    /// A replica receives a call.
    ReplicaStart {
        conn: Conn,
        replica: usize,
        request: u64,
    },
    /// A replica finishes a call; with `crashes_after_running` it goes down before it responds.
    ReplicaEnd {
        conn: Conn,
        replica: usize,
        request: u64,
        crashes_after_running: bool,
    },
    /// A replica accepts calls again.
    ReplicaUp(usize),
    /// The key-value service receives a call.
    Store {
        boot: Boot,
        op: OpId,
        request: StoreRequest,
    },
    /// A router fetches the membership list.
    Membership(usize),
    /// A router reads the configuration, by its watch or by polling.
    Watch(usize),
    /// An operator reads the configuration, or changes the version that it has read.
    Operator { read_version: Option<u64> },
    /// A router's process starts.
    RouterUp(usize),
    /// Engines publish their load.
    LoadReports,
    /// A fault is injected.
    Fault,
    /// The periodic checks run.
    Check,
}
