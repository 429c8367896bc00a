//! What follows when an attempt at a request ends without a whole answer.

use crate::RouteKind;

/// Sends that a request may take, whatever its route allows.
const MAX_DISPATCHED_ATTEMPTS: u32 = 5;

/// Time below which a further attempt has no chance, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 20;

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
    pub sends: u32,
    /// Sends that ran or may have run.
    pub runs: u32,
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
pub struct Retry {
    /// What the route allows.
    pub kind: RouteKind,
    /// Backend servers that the request may run on.
    pub max_attempts: u32,
}

impl Retry {
    /// Decides after an attempt; `spend_budget` uses one of the shared repeats and
    /// tells whether there was one.
    pub fn after<F>(&self, end: AttemptEnd, progress: Progress, spend_budget: F) -> Verdict
    where
        F: FnOnce() -> bool,
    {
        let final_outcome = self.final_outcome(end, progress);
        let exhausted =
            progress.sends >= MAX_DISPATCHED_ATTEMPTS || progress.left_ms < MIN_TIME_LEFT_MS;
        if exhausted || !self.allows(end, progress) {
            return final_outcome;
        }
        if end == AttemptEnd::Unsent || spend_budget() {
            Verdict::Again
        } else {
            final_outcome
        }
    }

    fn allows(&self, end: AttemptEnd, progress: Progress) -> bool {
        match end {
            AttemptEnd::Unsent | AttemptEnd::Rejected => true,
            AttemptEnd::Failed | AttemptEnd::Unknown => {
                self.kind.may_repeat() && progress.runs < self.max_attempts
            }
        }
    }

    fn final_outcome(&self, end: AttemptEnd, progress: Progress) -> Verdict {
        match end {
            AttemptEnd::Failed => Verdict::Failure,
            AttemptEnd::Unknown => Verdict::Unknown,
            AttemptEnd::Unsent | AttemptEnd::Rejected if progress.runs > 0 => Verdict::Unknown,
            AttemptEnd::Unsent | AttemptEnd::Rejected => Verdict::NotRun,
        }
    }
}
