//! Calls in progress.

use std::collections::BTreeMap;

use crate::idempotency_record::Claim;
use crate::interner::NameKey;
use crate::outcome::Progress;
use crate::placement::PlacementRequest;
use crate::AttemptId;
use crate::CallId;
use crate::Incarnation;
use crate::ServerKey;
use crate::StoredResponse;
use crate::Time;

/// The server or kind of server that a call needs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Target {
    /// An engine that generates a completion, still to be chosen.
    Engine(PlacementRequest),
    /// The engine that holds the stream to resume.
    Stream {
        server: ServerKey,
        incarnation: Incarnation,
    },
    /// Any replica of the named plain service.
    Service(String),
}

/// What a call is waiting for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// The claim on its idempotency record.
    Claiming,
    /// The choice of an engine by the owner of `cell`, requested under `ticket`.
    Placing { ticket: u64, cell: u64 },
    /// A free engine on which it can run in quarantine.
    AwaitingQuarantine,
    /// The response of `server`; `started` is set after the first token.
    Running { server: ServerKey, started: bool },
    /// The write of its response to the idempotency record.
    Recording(StoredResponse),
}

/// A call in progress.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) workspace: NameKey,
    pub(crate) rank: u8,
    pub(crate) deadline: Time,
    pub(crate) fingerprint: u64,
    /// Prompt tokens that count towards quota and share.
    pub(crate) tokens: u64,
    pub(crate) target: Target,
    /// Claim on the idempotency record; none for calls that may run more than once.
    pub(crate) claim: Option<Claim>,
    pub(crate) progress: Progress,
    pub(crate) stage: Stage,
    /// Number of the latest attempt, 0 before the first.
    pub(crate) attempt: AttemptId,
    /// Incarnation that the current attempt was sent to, 0 if unknown.
    pub(crate) incarnation: Incarnation,
    /// Servers at which an attempt failed, except because of their weights; they are not tried again.
    pub(crate) failed_servers: Vec<ServerKey>,
    /// Earliest time at which the attempt may be treated as stalled.
    pub(crate) stall_check_at: Time,
    /// Number of tokens delivered to the caller.
    pub(crate) delivered: u32,
    /// Whether an engine refused the call because of its weights; any version may serve it then.
    pub(crate) any_weights: bool,
    /// Prompt tokens that the current attempt expects in the engine's cache or fetched into it;
    /// once the engine has started, the tokens it found in its cache.
    pub(crate) expected_cached_tokens: u64,
    /// Whether the caller has received the final response or disconnected. The
    /// call is kept until its idempotency record is written.
    pub(crate) caller_done: bool,
}

/// Calls in progress by id.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: BTreeMap<CallId, Call>,
}

impl CallTable {
    /// Adds a call; panics if the id is in use.
    pub(crate) fn insert(&mut self, id: CallId, call: Call) {
        let before = self.calls.insert(id, call);
        assert!(before.is_none(), "call id {id:?} is already in use");
    }

    /// Returns the call with this id.
    pub(crate) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// Returns the call with this id for modification.
    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// Removes and returns the call with this id.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        self.calls.remove(&id)
    }

    /// Returns the number of calls running at a server.
    pub(crate) fn count_running_at(&self, server: ServerKey) -> usize {
        let at = self.calls.values().map(Call::server);
        at.filter(|at| *at == Some(server)).count()
    }

    /// Returns whether no call is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the ids of all calls.
    pub(crate) fn ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }
}

impl Call {
    /// Returns the server that is running the call, if any.
    pub(crate) fn server(&self) -> Option<ServerKey> {
        match self.stage {
            Stage::Running { server, .. } => Some(server),
            Stage::Claiming
            | Stage::Placing { .. }
            | Stage::AwaitingQuarantine
            | Stage::Recording(_) => None,
        }
    }

    /// Takes out the progress and leaves [`Progress::MayHaveRun`]; the code
    /// that calls this stores the new value.
    pub(crate) fn take_progress(&mut self) -> Progress {
        std::mem::replace(&mut self.progress, Progress::MayHaveRun)
    }
}
