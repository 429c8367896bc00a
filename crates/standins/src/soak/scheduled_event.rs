//! What is queued to happen.

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

/// One run of the process on a router's VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Boot {
    pub(crate) router: usize,
    pub(crate) boot: u64,
}

/// A connection from a router to a backend server, for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Conn {
    pub(crate) from: Boot,
    pub(crate) call: CallId,
    pub(crate) attempt: AttemptId,
}

/// What a caller hears of one send.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerResult {
    Refused(Refusal),
    Responded {
        response: StoredResponse,
        replayed: bool,
    },
    Ended,
    ConnectionLost,
}

/// Something that is queued to happen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ScheduledEvent {
    /// An event reaches a router's process.
    RouterEvent(Boot, Event),
    /// A message of another router arrives.
    Peer {
        to: usize,
        from: usize,
        message: PeerMessage,
    },
    /// A router's deadline has come.
    Tick(Boot),
    /// A caller sends a request to a router.
    Submit { request: u64, router: usize },
    /// A caller hears of its request.
    CallerResult { request: u64, result: CallerResult },
    /// A caller makes a new request.
    NewRequest,
    /// An engine receives an attempt.
    EngineStart {
        conn: Conn,
        dispatch: Dispatch,
        request: u64,
    },
    /// A router tells an engine to stop an attempt.
    EngineCancel { conn: Conn, engine: usize },
    /// An engine computes one step of its batch.
    EngineStep { engine: usize, incarnation: u64 },
    /// A leaving engine goes away.
    EngineRemoved(usize),
    /// An engine comes back, empty.
    EngineUp(usize),
    /// A token arrives at a router.
    Token { conn: Conn, token: Token },
    /// A replica receives a call.
    ReplicaStart {
        conn: Conn,
        replica: usize,
        request: u64,
    },
    /// A replica has run a call.
    ReplicaEnd {
        conn: Conn,
        replica: usize,
        request: u64,
        crashes_after_running: bool,
    },
    /// A replica takes calls again.
    ReplicaUp(usize),
    /// A call arrives at the key-value service.
    Store {
        boot: Boot,
        op: OpId,
        request: StoreRequest,
    },
    /// A router fetches the membership list.
    Membership(usize),
    /// A router's watch of the configuration fires, or its poll.
    Watch(usize),
    /// An operator reads the configuration and then changes it.
    Operator { read_version: Option<u64> },
    /// A router's process starts.
    RouterUp(usize),
    /// Engines publish their load.
    LoadReports,
    /// A fault strikes.
    Fault,
    /// The checker looks at what holds over time.
    Check,
}
