//! Detection of attempts that stall without an error.
//!
//! A server that hangs or is cut off by the network closes no connection. An
//! attempt is cancelled and retried elsewhere if it has no first token long
//! after one was expected and its server has been unresponsive for some
//! seconds. A server that is only slow is waited for.

use crate::call_table::Stage;
use crate::call_table::Target;
use crate::timers::Timer;
use crate::Action;
use crate::CallId;
use crate::Failure;
use crate::Node;
use crate::Time;

/// Time without a message after which a server counts as stalled, in milliseconds.
const UNRESPONSIVE_MS: u64 = 3_000;

impl Node {
    /// Schedules a check of the attempt for twice the expected wait plus
    /// [`UNRESPONSIVE_MS`], if the call may be retried.
    pub(crate) fn schedule_stall_check(&mut self, now: Time, id: CallId, expected_at: Time) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let retryable = match &call.target {
            Target::Engine(_) => true,
            Target::Service(_) => call.claim.is_none(),
            Target::Stream { .. } => false,
        };
        if retryable {
            let wait_us = expected_at.micros_since(now);
            let check_at = now.plus_micros(2 * wait_us).plus_millis(UNRESPONSIVE_MS);
            call.stall_check_at = check_at;
            self.timers.add(check_at, Timer::Stall(id));
        }
    }

    /// Fails an attempt without a first token if its server is unresponsive.
    pub(crate) fn on_stall_check(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let Stage::Running {
            server,
            started: false,
        } = call.stage
        else {
            return;
        };
        if now < call.stall_check_at {
            return;
        }
        let unresponsive_at = self
            .fleet
            .server(server)
            .last_contact_at
            .plus_millis(UNRESPONSIVE_MS);
        if now < unresponsive_at {
            call.stall_check_at = unresponsive_at;
            self.timers.add(unresponsive_at, Timer::Stall(id));
            return;
        }
        let delivered = call.delivered;
        self.cancel_attempt(id, out);
        self.on_failed(now, id, server, Failure::Stalled, delivered, out);
    }
}
