//! Decides what follows an attempt that ends without a complete response.

use crate::AttemptEnd;
use crate::RouteKind;

/// Maximum number of attempts dispatched for a request, whatever its route allows.
const MAX_DISPATCHED_ATTEMPTS: u32 = 5;

/// Maximum number of backend servers that reject a request in a row. More than these would reject
/// others because of it, while its caller may return when there is room.
const MAX_REJECTIONS_IN_A_ROW: u32 = 2;

/// Time left to the deadline below which no further attempt is made, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 20;

/// Attempts made for a request so far, and the time that is left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Attempts dispatched, whatever their outcome.
    pub attempts: u32,
    /// Attempts that were or may have been executed.
    pub executions: u32,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Latest attempts that backend servers rejected, counted where the room of servers is limited.
    pub rejections_in_a_row: u32,
}

/// Decision after an attempt: a retry, or the final outcome of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry on another backend server.
    Again,
    /// No retry: the request was not and will not be executed.
    NotRun,
    /// No retry: the backend server's response is forwarded to the caller.
    Failure,
    /// No retry: the request may have been executed.
    Unknown,
}

/// Decides whether a request is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether requests of the route may be executed more than once.
    pub kind: RouteKind,
    /// Maximum number of attempts that were or may have been executed; attempts that were
    /// surely not executed don't count.
    pub max_attempts: u32,
}

impl RetryPolicy {
    /// Decides what follows an attempt. `spend_budget` takes a retry from the retry budget
    /// and returns whether one was left. It isn't called if no byte of the request was sent.
    pub fn decide_retry<F>(&self, end: AttemptEnd, progress: Progress, spend_budget: F) -> Verdict
    where
        F: FnOnce() -> bool,
    {
        let final_outcome = self.final_outcome(end, progress);
        let exhausted = progress.attempts >= MAX_DISPATCHED_ATTEMPTS
            || progress.rejections_in_a_row >= MAX_REJECTIONS_IN_A_ROW
            || progress.left_ms < MIN_TIME_LEFT_MS;
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
            AttemptEnd::Completed => false,
            AttemptEnd::Failed | AttemptEnd::BrokenOff | AttemptEnd::Unknown => {
                self.kind.may_retry() && progress.executions < self.max_attempts
            }
        }
    }

    fn final_outcome(&self, end: AttemptEnd, progress: Progress) -> Verdict {
        match end {
            AttemptEnd::Completed | AttemptEnd::Failed => Verdict::Failure,
            AttemptEnd::BrokenOff | AttemptEnd::Unknown => Verdict::Unknown,
            AttemptEnd::Unsent | AttemptEnd::Rejected if progress.executions > 0 => {
                Verdict::Unknown
            }
            AttemptEnd::Unsent | AttemptEnd::Rejected => Verdict::NotRun,
        }
    }
}
