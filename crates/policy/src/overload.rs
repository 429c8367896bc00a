//! Admission by expected wait.
//!
//! A request is admitted if its first token is expected before the deadline,
//! and if the wait until its prefill begins is within a fraction of the time
//! left. The fraction is smaller for lower ranks and for workspaces that use
//! more than their fair share. Under overload the queues settle at the length
//! where the lowest class is refused, so higher classes still get in, and no
//! engine computes prompts whose callers have given up. A request
//! that would begin at once is admitted if its first token is expected in time.

use crate::call_table::Call;
use crate::placement::Choice;
use crate::CallId;
use crate::Node;
use crate::Reason;
use crate::Time;

/// Fraction of the time left that a request of the highest rank may wait in a queue.
const TOP_RANK_WAIT_FRACTION: f64 = 0.9;

/// Fraction of the time left that a request of the lowest rank may wait in a queue.
const LOWEST_RANK_WAIT_FRACTION: f64 = 0.5;

/// Why a call is not served now, and when it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RefusalCause {
    pub(crate) reason: Reason,
    pub(crate) retry_at: Option<Time>,
}

impl RefusalCause {
    /// Builds the cause of a refusal that a retry at `retry_at` may avoid.
    pub(crate) fn retryable(retry_at: Time, reason: Reason) -> RefusalCause {
        RefusalCause {
            reason,
            retry_at: Some(retry_at),
        }
    }

    /// Builds the cause of a refusal that a retry does not avoid.
    pub(crate) fn permanent(reason: Reason) -> RefusalCause {
        RefusalCause {
            reason,
            retry_at: None,
        }
    }
}

impl Node {
    /// Returns an error if the expected wait is too long for the call. A call with delivered
    /// tokens always passes.
    pub(crate) fn check_wait(
        &self,
        now: Time,
        call: &Call,
        choice: &Choice,
    ) -> Result<(), RefusalCause> {
        if call.delivered > 0 {
            return Ok(());
        }
        if choice.first_token_at > call.deadline {
            let late_us = choice.first_token_at.micros_since(call.deadline);
            return Err(RefusalCause::retryable(
                now.plus_micros(late_us),
                Reason::DeadlineTooClose,
            ));
        }
        let latest = self.latest_start(now, call);
        if choice.begins_at > latest {
            let late_us = choice.begins_at.micros_since(latest);
            return Err(RefusalCause::retryable(
                now.plus_micros(late_us),
                Reason::Overloaded,
            ));
        }
        Ok(())
    }

    /// Returns the latest time at which an engine may be expected to begin with a call.
    fn latest_start(&self, now: Time, call: &Call) -> Time {
        let left_us = call.deadline.micros_since(now) as f64;
        let by_rank = LOWEST_RANK_WAIT_FRACTION
            + (TOP_RANK_WAIT_FRACTION - LOWEST_RANK_WAIT_FRACTION) * self.relative_rank(call.rank);
        let fair_share_ratio = self.shares.fair_share_ratio(now, call.workspace).max(1.0);
        let by_share = 1.0 / (fair_share_ratio * fair_share_ratio);
        now.plus_micros((left_us * by_rank * by_share) as u64)
    }

    /// Adds the tokens of a call to its workspace's recorded use, at the first attempt only.
    pub(crate) fn on_admitted(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(id).filter(|call| call.attempt.0 == 0) else {
            return;
        };
        let name = self.fleet.workspaces.name(call.workspace);
        let share = self
            .active_config
            .config()
            .and_then(|cfg| cfg.workspaces.get(&**name))
            .map_or(1, |workspace| workspace.share);
        self.shares.add(now, call.workspace, share, call.tokens);
    }

    /// Returns the rank on a scale from 0 for the lowest to 1 for the highest declared one.
    fn relative_rank(&self, rank: u8) -> f64 {
        match self.active_config.top_rank() {
            0 => 1.0,
            top => f64::from(rank.min(top)) / f64::from(top),
        }
    }
}
