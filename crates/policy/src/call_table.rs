//! Calls in progress.

use std::collections::BTreeMap;

use crate::interner::NameKey;
use crate::once::Claim;
use crate::outcome::Progress;
use crate::placement::Ask;
use crate::AttemptId;
use crate::CallId;
use crate::Incarnation;
use crate::ServerKey;
use crate::StoredResponse;
use crate::Time;

/// What a call needs of a server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Target {
    /// An engine that generates.
    Engine(Ask),
    /// The engine that holds a stream.
    Stream {
        server: ServerKey,
        incarnation: Incarnation,
    },
    /// A replica of a plain service.
    Service(String),
}

/// What a call waits for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Its record is being claimed.
    Claiming,
    /// The owner of a cell was asked for an engine.
    Placing { ticket: u64, cell: u64 },
    /// It may only run on trial, and its turn has not come.
    AwaitingTrial,
    /// A server is running it.
    Running { server: ServerKey, started: bool },
    /// Its answer is being recorded.
    Recording(StoredResponse),
}

/// A call in progress.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) workspace: NameKey,
    pub(crate) rank: u8,
    pub(crate) deadline: Time,
    pub(crate) fingerprint: u64,
    pub(crate) tokens: u64,
    pub(crate) target: Target,
    /// Record of a call that may not be repeated.
    pub(crate) claim: Option<Claim>,
    pub(crate) progress: Progress,
    pub(crate) stage: Stage,
    pub(crate) attempt: AttemptId,
    /// Incarnation that the present attempt was sent to, 0 when unknown.
    pub(crate) incarnation: Incarnation,
    /// Servers at which it failed.
    pub(crate) failed_at: Vec<ServerKey>,
    /// Time from which the attempt is late.
    pub(crate) stalled_at: Time,
    /// Tokens that the caller has.
    pub(crate) delivered: u32,
    /// Whether an engine refused it for its weights, so that any may serve it.
    pub(crate) any_weights: bool,
    /// Prompt tokens that the attempt in progress expects in the cache.
    pub(crate) expected_cached_tokens: u64,
    /// Whether the caller has its final answer, or has gone away; the call goes
    /// on for the sake of its record.
    pub(crate) answered: bool,
}

/// Calls in progress, by their keys.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: BTreeMap<CallId, Call>,
}

impl CallTable {
    /// Adds a call.
    pub(crate) fn insert(&mut self, id: CallId, call: Call) {
        let before = self.calls.insert(id, call);
        assert!(before.is_none(), "call {id:?} came twice");
    }

    /// Returns a call.
    pub(crate) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// Returns a call for a change.
    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// Takes a call out.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        self.calls.remove(&id)
    }

    /// Returns how many calls run at a server.
    pub(crate) fn count_at(&self, server: ServerKey) -> usize {
        let at = self.calls.values().map(Call::server);
        at.filter(|at| *at == Some(server)).count()
    }

    /// Tells whether no call is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the keys of all calls.
    pub(crate) fn ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }
}

impl Call {
    /// Returns the server that runs the call.
    pub(crate) fn server(&self) -> Option<ServerKey> {
        match self.stage {
            Stage::Running { server, .. } => Some(server),
            Stage::Claiming
            | Stage::Placing { .. }
            | Stage::AwaitingTrial
            | Stage::Recording(_) => None,
        }
    }

    /// Takes what is known of the attempts out, to be put back by the caller.
    pub(crate) fn take_progress(&mut self) -> Progress {
        std::mem::replace(&mut self.progress, Progress::MayHaveRun)
    }
}
