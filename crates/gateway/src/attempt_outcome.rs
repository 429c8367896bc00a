//! Records how the attempts of a request ended, and decides what follows.

use relay::AttemptEnd;
use relay::Choice;
use relay::Progress;
use relay::RetryPolicy;
use relay::Verdict;

use crate::clock::now;
use crate::evidence::record_end;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::request_event::AttemptEnded;
use crate::request_event::RequestEvent;

impl Exchange {
    /// Records a failed attempt, decides whether to retry, and logs the decision.
    pub fn decide_retry(&mut self, end: AttemptEnd, reason: &str, choice: &Choice) -> Verdict {
        record_end(self, end);
        if let Some(quota) = self.quota.take().filter(|_| !end.may_have_run()) {
            quota.refund();
        }
        self.place = None;
        if end.may_have_run() {
            self.executions += 1;
        }
        if end != AttemptEnd::Rejected {
            self.rejections_in_a_row.set(0);
        }
        let progress = Progress {
            attempts: self.attempts,
            executions: self.executions,
            left_ms: self.left_ms(),
            rejections_in_a_row: self.rejections_in_a_row.get(),
        };
        let retry = RetryPolicy {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
        };
        let (verdict, left) = self.cx.with_retry_budget(&self.service, |budget| {
            let verdict = retry.decide_retry(end, progress, || budget.spend(now()));
            (verdict, budget.remaining(now()))
        });
        self.cx
            .metrics
            .attempts
            .with_label_values(&[&format!("{end:?}").to_lowercase()])
            .inc();
        let ended = AttemptEnded {
            id: &self.parsed.id,
            service: &self.service,
            server: &self.cx.server_name(choice.server),
            fingerprint: self.fingerprint,
            end,
            reason,
            verdict,
            attempts: self.attempts,
            executions: self.executions,
            left_ms: progress.left_ms,
            budget_left: left,
        };
        RequestEvent::AttemptEnded(ended).write();
        verdict
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.finished {
            record_end(self, AttemptEnd::Unknown);
            let server = self.tried.last().copied();
            self.finish(self.undelivered_outcome(), 0, server);
        }
    }
}
