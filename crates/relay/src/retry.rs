//! What follows when an attempt at a request ends without a whole answer.

use crate::RouteKind;

/// Sends that a request may take, whatever its route allows.
const MAX_SENDS: u32 = 5;

/// Time below which a further attempt has no chance, in milliseconds.
const MIN_LEFT_MS: u64 = 20;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request left this router.
    Unsent,
    /// The backend server said that it did not and will not run the request.
    Rejected,
    /// The backend server ran the request and answered that it failed.
    Failed,
    /// The request may have run: its answer broke off, or there was none.
    Unknown,
}

/// What a request has used up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Sends of any outcome.
    pub attempts: u32,
    /// Sends that ran or may have run.
    pub executions: u32,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
}

/// Why a request isn't sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to another backend server.
    Again,
    /// It has not run and never will.
    NotRun,
    /// The backend server's own failure is the answer.
    Failure,
    /// It may have run.
    Unknown,
}

/// Decides whether to send a request again.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// What the route allows.
    pub kind: RouteKind,
    /// Backend servers that the request may run on.
    pub max_attempts: u32,
}

impl RetryPolicy {
    /// Decides after an attempt; `budget` uses one of the shared repeats and
    /// tells whether there was one.
    pub fn decide_retry<F>(&self, end: AttemptEnd, progress: Progress, budget: F) -> Verdict
    where
        F: FnOnce() -> bool,
    {
        let last_word = self.last_word(end, progress);
        let out = progress.attempts >= MAX_SENDS || progress.left_ms < MIN_LEFT_MS;
        if out || !self.allows(end, progress) {
            return last_word;
        }
        if end == AttemptEnd::Unsent || budget() {
            Verdict::Again
        } else {
            last_word
        }
    }

    fn allows(&self, end: AttemptEnd, progress: Progress) -> bool {
        match end {
            AttemptEnd::Unsent | AttemptEnd::Rejected => true,
            AttemptEnd::Failed | AttemptEnd::Unknown => {
                self.kind.may_retry() && progress.executions < self.max_attempts
            }
        }
    }

    fn last_word(&self, end: AttemptEnd, progress: Progress) -> Verdict {
        match end {
            AttemptEnd::Failed => Verdict::Failure,
            AttemptEnd::Unknown => Verdict::Unknown,
            AttemptEnd::Unsent | AttemptEnd::Rejected if progress.executions > 0 => {
                Verdict::Unknown
            }
            AttemptEnd::Unsent | AttemptEnd::Rejected => Verdict::NotRun,
        }
    }
}
