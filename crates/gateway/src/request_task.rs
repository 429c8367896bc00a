//! Serves one request of a caller, from its head to the end of the response.

use http::Response;
use policy::Time;
use relay::Unplaceable;
use relay::Urgency;
use relay::Verdict;

use crate::attempt::Attempt;
use crate::attempt_failure::AttemptFailure;
use crate::attempt_failure::FullResponse;
use crate::body::ResponseBody;
use crate::clock::now;
use crate::evidence::record_end;
use crate::exchange::Exchange;
use crate::fleet_summary::FleetSummary;
use crate::log_event::LogEvent;
use crate::quota_spending;
use crate::quota_spending::OverQuotaUntil;
use crate::refusal::Refusal;
use crate::request_event::RequestEvent;
use crate::server_choice::place;
use crate::stream_relay;

impl Exchange {
    /// Makes attempts until one gives a final response or no retry is allowed, and returns
    /// the response. A streamed body is relayed by a task of its own.
    pub async fn run(mut self) -> Response<ResponseBody> {
        if let Err(over) = quota_spending::take(&mut self).await {
            return self.refuse_over_quota(over, None);
        }
        if self.route.kind.streams() && !self.resolve_stream().await {
            return self.refuse(Refusal::unknown_stream());
        }
        self.cx
            .with_retry_budget(&self.service, |budget| budget.record_request(now()));
        loop {
            let choice = match place(&mut self, Urgency::Normal).await {
                Ok(choice) => choice,
                Err(e) => return self.refuse_unplaced(e),
            };
            if let Err(until) = self.admit() {
                return self.refuse_blocked(until);
            }
            let failure = match self.start_attempt(&choice).await {
                Ok(attempt) if self.is_stream(&attempt) => {
                    return stream_relay::start(self, attempt);
                }
                Ok(attempt) => match attempt.read_body(&self).await {
                    Ok(full) if self.is_final(&full) => {
                        record_end(&self, full.end);
                        return self.respond(full);
                    }
                    Ok(full) => AttemptFailure::from_response(full),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            match self.decide_retry(failure.end, &failure.reason, &choice) {
                Verdict::Again => {
                    if let Err(over) = quota_spending::take(&mut self).await {
                        return self.refuse_over_quota(over, failure.error_response);
                    }
                }
                Verdict::Failure => match failure.error_response {
                    Some(full) => return self.respond(full),
                    None => return self.refuse(Refusal::Unknown),
                },
                Verdict::NotRun => return self.refuse(rejected(&failure)),
                Verdict::Unknown if failure.timed_out => return self.refuse(Refusal::TimedOut),
                Verdict::Unknown => return self.refuse(Refusal::Unknown),
            }
        }
    }

    fn is_stream(&self, attempt: &Attempt) -> bool {
        self.route.kind.streams() && attempt.status().is_success()
    }

    /// Returns whether a response goes to the caller without considering a retry.
    fn is_final(&self, full: &FullResponse) -> bool {
        let status = full.response.status();
        !status.is_server_error() || status == http::StatusCode::GATEWAY_TIMEOUT
    }

    fn respond(mut self, full: FullResponse) -> Response<ResponseBody> {
        let status = full.response.status();
        let says_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if says_not_run {
            // These statuses tell the caller that the request did not run, but it may have.
            return self.refuse(Refusal::Unknown);
        }
        let outcome = if status.is_success() {
            "served"
        } else {
            "failed"
        };
        self.finish_when_delivered(outcome, status.as_u16(), full.server);
        full.response
    }

    fn refuse_unplaced(mut self, e: Unplaceable) -> Response<ResponseBody> {
        let fleet = FleetSummary::new(&self.cx.view.borrow(), &self.service, now());
        if fleet.retry_later > 0 {
            self.cx.metrics.servers.held_back.inc();
        }
        RequestEvent::Unplaced {
            id: &self.parsed.id,
            service: &self.service,
            cause: e,
            fleet,
        }
        .write();
        if self.executions > 0 {
            return self.refuse(Refusal::Unknown);
        }
        self.refuse(Refusal::NotRun {
            reason: e.reason(),
            retry_after_ms: e.retry_after_ms(),
        })
    }

    /// Refuses the request, as its workspace has used its quota up. The status for that says that it
    /// has not run; if it may have, the caller gets what is known of its latest attempt.
    fn refuse_over_quota(
        mut self,
        over: OverQuotaUntil,
        error_response: Option<FullResponse>,
    ) -> Response<ResponseBody> {
        match error_response {
            Some(full) => self.respond(full),
            None if self.executions > 0 => self.refuse(Refusal::Unknown),
            None => self.refuse(Refusal::OverQuota {
                retry_after_ms: over.retry_after_ms,
            }),
        }
    }

    /// Refuses the request, as it crashes servers; it may be tried again at `until`.
    fn refuse_blocked(&mut self, until: Time) -> Response<ResponseBody> {
        if self.executions > 0 {
            return self.refuse(Refusal::Unknown);
        }
        self.refuse(Refusal::crashes_servers(now(), until))
    }

    /// Ends the request with a response of the gateway's own.
    pub fn refuse(&mut self, refusal: Refusal) -> Response<ResponseBody> {
        self.finish(refusal.reason(), refusal.status().as_u16(), None);
        refusal.response()
    }
}

fn rejected(failure: &AttemptFailure) -> Refusal {
    Refusal::NotRun {
        reason: "rejected",
        retry_after_ms: failure.retry_after_ms,
    }
}
