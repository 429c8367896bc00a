//! Serves one request of a caller, from its head to the end of the response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http::Response;
use policy::Time;
use rand::Rng;
use relay::Admission;
use relay::AttemptEnd;
use relay::CachePartition;
use relay::Choice;
use relay::Progress;
use relay::RetryPolicy;
use relay::Route;
use relay::ServerKey;
use relay::StreamBuild;
use relay::SuspectKey;
use relay::Unplaceable;
use relay::Urgency;
use relay::Verdict;
use relay::Workspace;
use tokio::time::timeout;

use crate::accepted::Accepted;
use crate::attempt::Attempt;
use crate::attempt_failure::AttemptFailure;
use crate::attempt_failure::FullResponse;
use crate::attempted_server::AttemptedServer;
use crate::body::ResponseBody;
use crate::buffer_budget::BufferHold;
use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::codec::RequestHead;
use crate::context::Context;
use crate::evidence::record_end;
use crate::fleet_summary::FleetSummary;
use crate::log_event::LogEvent;
use crate::places::HeldPlace;
use crate::refusal::Refusal;
use crate::request_event::AttemptEnded;
use crate::request_event::RequestEnded;
use crate::request_event::RequestEvent;
use crate::server_choice::place;
use crate::spent_quota;
use crate::spent_quota::OverQuotaUntil;
use crate::spent_quota::SpentQuota;
use crate::stream_relay;
use crate::timing::duration_until;

/// Longest time until the response if the caller names none, in milliseconds after arrival.
const DEFAULT_MAX_WAIT_MS: u64 = 30_000;

/// Time after the deadline for which a response is still awaited, in milliseconds:
/// the backend server's own timeout response may be in transit.
pub const DEADLINE_GRACE_MS: u64 = 120;

/// A request being served, with its attempts so far.
pub struct Exchange {
    /// State of this router.
    pub cx: Rc<Context>,
    /// Head that the caller sent.
    pub head: request::Parts,
    /// Fields read from the head.
    pub parsed: RequestHead,
    /// Body that the caller sent.
    pub body: Bytes,
    /// Counts the request as buffered.
    pub _hold: BufferHold,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Workspace of the caller's key.
    pub workspace: Option<Arc<Workspace>>,
    /// Service picked for it from the route's shares.
    pub service: Arc<str>,
    /// When its head was read.
    pub arrived_at: Time,
    /// When the response is due.
    pub deadline: Time,
    /// Version of the configuration under which it was accepted.
    pub configuration: u64,
    /// Fingerprint that recognizes the same request under another id.
    pub fingerprint: SuspectKey,
    /// What crashes of its backend servers are blamed on.
    pub suspects: Vec<SuspectKey>,
    /// Where the response may go on, if it is a stream.
    pub stream_build: Cell<StreamBuild>,
    /// Backend server of the latest attempt; none before the first.
    pub latest_server: Option<AttemptedServer>,
    /// Backend servers of the attempts so far.
    pub tried: Vec<ServerKey>,
    /// What the next or latest attempt takes of its workspace's quota, if that has one.
    pub quota: Option<SpentQuota>,
    /// Place of the latest attempt in its backend server, if that needs one.
    pub place: Option<HeldPlace>,
    /// Attempts so far, of any outcome.
    pub attempts: u32,
    /// Attempts that the backend server ran or may have run.
    pub executions: u32,
    /// Latest attempts that backend servers rejected, counted where the room of servers is limited.
    pub rejections_in_a_row: Cell<u32>,
    /// Number that differs from request to request.
    pub seed: u64,
    finished: bool,
}

impl Exchange {
    /// Sets the deadline and picks the service of a request.
    pub fn new(cx: Rc<Context>, accepted: Accepted) -> Exchange {
        let seed: u64 = rand::rng().random();
        let max_wait_ms = accepted.parsed.max_wait_ms.unwrap_or(DEFAULT_MAX_WAIT_MS);
        let route = accepted.route;
        Exchange {
            cx,
            service: pick_service(&route, seed),
            deadline: accepted
                .arrived_at
                .plus_millis(max_wait_ms.min(route.timeout_ms)),
            head: accepted.head,
            parsed: accepted.parsed,
            body: accepted.body,
            _hold: accepted.hold,
            route,
            workspace: accepted.workspace,
            arrived_at: accepted.arrived_at,
            configuration: accepted.configuration,
            fingerprint: accepted.fingerprint,
            suspects: accepted.suspects,
            stream_build: Cell::default(),
            latest_server: None,
            tried: Vec::new(),
            quota: None,
            place: None,
            attempts: 0,
            executions: 0,
            rejections_in_a_row: Cell::new(0),
            seed,
            finished: false,
        }
    }

    /// Makes attempts until one gives a final response or no retry is allowed, and returns
    /// the response. A streamed body is relayed by a task of its own.
    pub async fn run(mut self) -> Response<ResponseBody> {
        if let Err(over) = spent_quota::take(&mut self).await {
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
                    if let Err(over) = spent_quota::take(&mut self).await {
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

    /// Returns the time left until the deadline, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.deadline.millis_since(now())
    }

    /// Returns the requests with which it shares cached prompt parts, by the present configuration.
    pub fn cache_partition(&self, view: &ClusterView) -> CachePartition {
        let configuration = view.configuration.as_ref();
        configuration.map_or_else(CachePartition::default, |configuration| {
            configuration.cache_partition(self.workspace.as_deref())
        })
    }

    /// Checks that none of the request's suspects is blocked; otherwise returns the time until
    /// which one is. If the request is to be sent as a trial, records that.
    pub fn admit(&self) -> Result<(), Time> {
        match self.cx.admission(&self.suspects) {
            Admission::Free => Ok(()),
            Admission::Trial => {
                self.cx.begin_trial(&self.suspects);
                Ok(())
            }
            Admission::Blocked(until) => Err(until),
        }
    }

    /// Sends the request to a backend server and waits for the response head.
    pub async fn start_attempt(&mut self, choice: &Choice) -> Result<Attempt, AttemptFailure> {
        if let Some(quota) = &self.quota {
            quota.record_sent();
        }
        self.attempts += 1;
        self.tried.push(choice.server);
        self.latest_server = AttemptedServer::new(&self.cx.view.borrow().fleet, choice.server);
        let limit = duration_until(self.deadline.plus_millis(DEADLINE_GRACE_MS));
        match timeout(limit, Attempt::start(self, choice)).await {
            Ok(result) => result,
            Err(_) => Err(AttemptFailure::timed_out()),
        }
    }

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

    /// Records the final outcome of the request in metrics and log.
    pub fn finish(&mut self, outcome: &str, status: u16, server: Option<ServerKey>) {
        self.finished = true;
        let took = now().micros_since(self.arrived_at);
        self.cx.metrics.requests.with_label_values(&[outcome]).inc();
        self.cx
            .metrics
            .time_to_end
            .observe(took as f64 / 1_000_000.0);
        let server = server.map(|key| self.cx.server_name(key));
        let ended = RequestEnded {
            id: &self.parsed.id,
            route: &self.route.name,
            workspace: self.workspace.as_deref().map(|w| &*w.name),
            service: &self.service,
            configuration: self.configuration,
            outcome,
            status,
            server: server.as_deref(),
            attempts: self.attempts,
            executions: self.executions,
            took_ms: took / 1_000,
            left_ms: self.left_ms(),
        };
        RequestEvent::Ended(ended).write();
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
        self.finish(outcome, status.as_u16(), Some(full.server));
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

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.finished {
            record_end(self, AttemptEnd::Unknown);
            let server = self.tried.last().copied();
            self.finish("caller_left", 0, server);
        }
    }
}

fn pick_service(route: &Route, seed: u64) -> Arc<str> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut at = (seed >> 32) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if at < weight {
            return Arc::clone(&share.service);
        }
        at -= weight;
    }
    Arc::clone(&route.shares[0].service)
}

fn rejected(failure: &AttemptFailure) -> Refusal {
    Refusal::NotRun {
        reason: "rejected",
        retry_after_ms: failure.retry_after_ms,
    }
}
