//! Log events for the decisions on a request and its outcome. Times are in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use log::Level;
use relay::AttemptEnd;
use relay::PartKey;
use relay::SuspectKey;
use relay::Unplaceable;
use relay::Verdict;

use crate::fleet_summary::FleetSummary;
use crate::log_event::LogEvent;

/// A decision on a request, or its final outcome.
#[derive(Clone, Debug)]
pub enum RequestEvent<'a> {
    /// An attempt was dispatched to a backend server.
    AttemptSent(AttemptSent<'a>),
    /// An attempt failed: without a complete response, or with an error response.
    AttemptEnded(AttemptEnded<'a>),
    /// No backend server can take a request.
    Unplaced {
        /// Id that the caller gave the request.
        id: &'a str,
        /// Name of the service that was to run it.
        service: &'a str,
        /// Why none can take it.
        cause: Unplaceable,
        /// State of the service's backend servers.
        fleet: FleetSummary,
    },
    /// An attempt of a request is not sent, as its workspace has used its quota up.
    OverQuota(OverQuota<'a>),
    /// A request ended.
    Ended(RequestEnded<'a>),
    /// A request has waited at the router for room.
    Waited {
        /// Id that the caller gave the request.
        id: &'a str,
        /// Name of the service that is to run it.
        service: &'a str,
        /// Outcome: `began`, `in_vain`, or why no server can take it.
        outcome: &'a str,
        /// Time that it waited.
        waited_ms: u64,
        /// Number of requests that still wait for the service.
        queued: usize,
    },
    /// A request was refused before a backend server was sought for it.
    Refused {
        /// Id that the caller gave the request; none if the head is invalid.
        id: Option<&'a str>,
        /// Version of the configuration that decided, 0 if none was used; none if the head is
        /// invalid.
        configuration: Option<u64>,
        /// Status of the response.
        status: u16,
        /// Why.
        reason: &'a str,
    },
    /// A request ended before its body was complete.
    RequestBrokeOff {
        /// Id that the caller gave the request.
        id: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// A caller takes a stream up, which may go on only at the build that began it.
    TakenUp(TakenUp<'a>),
    /// No backend server can resume a stream.
    ResumeFailed {
        /// Id that the caller gave the request.
        id: &'a str,
        /// Why.
        reason: &'a str,
    },
}

/// A dispatched attempt, with the estimates behind the choice of its backend server.
#[derive(Clone, Debug)]
pub struct AttemptSent<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Id of the earlier request that brought the first event of the stream that it resumes.
    pub resumes: Option<&'a str>,
    /// Id of the backend server.
    pub server: &'a str,
    /// Version of the server's software.
    pub build: &'a str,
    /// Estimated total cost of the choice, by which candidates are compared.
    pub cost_ms: f64,
    /// Estimated time in the engine's queue.
    pub wait_ms: f64,
    /// Estimated time to prefill its prompt.
    pub prefill_ms: f64,
    /// Learned pace of the server, a factor of both; 1 if none is learned.
    pub pace: f64,
    /// Requests of all routers in flight on the server, as far as known, including this one.
    pub requests: u32,
    /// Age of the oldest of the other routers' loads included in `requests`.
    pub load_age_ms: u64,
    /// Expected version of the server's weights.
    pub weights: Option<u64>,
    /// Key of the shared prefix of the prompt.
    pub part: Option<PartKey>,
    /// Whether the server is expected to have it cached.
    pub caches_prefix: bool,
    /// Where the server may fetch it from: `engine`, `store` (a prefix store) or `none`.
    pub fetch: &'static str,
    /// Whether the server is asked to save it to a prefix store.
    pub saves: bool,
    /// Time since the server's registration was last received.
    pub entry_age_ms: u64,
    /// Time until the deadline.
    pub left_ms: u64,
}

/// The end of a failed attempt and the decision that follows from it.
#[derive(Clone, Debug)]
pub struct AttemptEnded<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Name of the service that was to run it.
    pub service: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// Fingerprint of the request, by which routers recognize it.
    pub fingerprint: SuspectKey,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Why.
    pub reason: &'a str,
    /// Decision on a retry.
    pub verdict: Verdict,
    /// Attempts so far, of any outcome.
    pub attempts: u32,
    /// Attempts so far that the backend server ran or may have run.
    pub executions: u32,
    /// Time until the deadline.
    pub left_ms: u64,
    /// Retries left in the service's budget.
    pub budget_left: u32,
}

/// A stream that a caller takes up, and how its build is known.
#[derive(Clone, Debug)]
pub struct TakenUp<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Id of the request that brought the stream's first event, if the caller names it.
    pub resumes: Option<&'a str>,
    /// How the build is known: `own`, `peer`, `store`, `only_build` or `unknown`.
    pub source: &'static str,
    /// What the store says of it: `known`, `unknown`, `unread` or `unasked`.
    pub stored: &'static str,
    /// Number of other routers that answered.
    pub answers: usize,
    /// Number of builds that the services of its route have or had lately.
    pub builds: usize,
    /// Time that it took to find out.
    pub took_ms: u64,
}

/// An attempt that is over the quota of its workspace.
#[derive(Clone, Debug)]
pub struct OverQuota<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Name of its workspace.
    pub workspace: &'a str,
    /// What the attempt would have counted.
    pub units: u64,
    /// Units a second that the quota allows.
    pub rate_per_s: u64,
    /// Units that it allows at once after a rest.
    pub burst: u64,
    /// Hash of the name of the router that accepted this one's vote; none before the first.
    pub allocator: Option<u64>,
    /// Time since its latest reply to this router, on which the balance is based; none before it.
    pub balance_age_ms: Option<u64>,
    /// Time for which the attempt waited for a grant.
    pub waited_ms: u64,
    /// Time after which the caller should retry.
    pub retry_after_ms: u64,
    /// Attempts so far that the backend server ran or may have run.
    pub executions: u32,
}

/// The final outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestEnded<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Name of the caller's workspace, if there is one.
    pub workspace: Option<&'a str>,
    /// Name of its service.
    pub service: &'a str,
    /// Version of the configuration under which it was accepted.
    pub configuration: u64,
    /// One word for the outcome, such as `served`, `failed` or the reason of a refusal.
    pub outcome: &'a str,
    /// Status of the response, 0 for none.
    pub status: u16,
    /// Id of the backend server that responded; of the last one tried if the caller left.
    pub server: Option<&'a str>,
    /// All attempts.
    pub attempts: u32,
    /// Attempts that the backend server ran or may have run.
    pub executions: u32,
    /// Time since its head was read.
    pub took_ms: u64,
    /// Time until the deadline.
    pub left_ms: u64,
}

impl LogEvent for RequestEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }

    fn is_success(&self) -> bool {
        match self {
            RequestEvent::AttemptSent(_) => true,
            RequestEvent::Ended(ended) => ended.outcome == "served",
            RequestEvent::Waited { outcome, .. } => *outcome == "began",
            _ => false,
        }
    }
}

impl Display for RequestEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            RequestEvent::AttemptSent(sent) => sent.fmt(f),
            RequestEvent::AttemptEnded(ended) => ended.fmt(f),
            RequestEvent::OverQuota(over) => over.fmt(f),
            RequestEvent::Ended(ended) => ended.fmt(f),
            RequestEvent::Unplaced {
                id,
                service,
                cause,
                fleet,
            } => write!(
                f,
                "event=unplaced id={id:?} service={service} reason={} cause={cause:?} {fleet}",
                cause.reason()
            ),
            RequestEvent::Waited {
                id,
                service,
                outcome,
                waited_ms,
                queued,
            } => write!(
                f,
                "event=waited id={id:?} service={service} outcome={outcome} waited_ms={waited_ms} queued={queued}"
            ),
            RequestEvent::Refused {
                id,
                configuration,
                status,
                reason,
            } => {
                write!(f, "event=refused id={:?}", id.unwrap_or("none"))?;
                if let Some(version) = configuration {
                    write!(f, " configuration={version}")?;
                }
                write!(f, " status={status} reason={reason:?}")
            }
            RequestEvent::RequestBrokeOff { id, reason } => {
                write!(f, "event=request_broke_off id={id:?} reason={reason:?}")
            }
            RequestEvent::TakenUp(taken_up) => taken_up.fmt(f),
            RequestEvent::ResumeFailed { id, reason } => {
                write!(f, "event=resume_failed id={id:?} reason={reason}")
            }
        }
    }
}

impl Display for AttemptSent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=sent id={:?} resumes={:?} server={} build={:?} cost_ms={:.0} wait_ms={:.0} reading_ms={:.0} pace={:.2} requests={} load_age_ms={} weights={} part={:016x} held={} fetch={} save={} entry_age_ms={} left_ms={}",
            self.id,
            self.resumes.unwrap_or("none"),
            self.server,
            self.build,
            self.cost_ms,
            self.wait_ms,
            self.prefill_ms,
            self.pace,
            self.requests,
            self.load_age_ms,
            self.weights.unwrap_or(0),
            self.part.map_or(0, |part| part.0),
            self.caches_prefix,
            self.fetch,
            self.saves,
            self.entry_age_ms,
            self.left_ms,
        )
    }
}

impl Display for OverQuota<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=over_quota id={:?} workspace={:?} units={} rate_per_s={} burst={} allocator={:016x}",
            self.id,
            self.workspace,
            self.units,
            self.rate_per_s,
            self.burst,
            self.allocator.unwrap_or(0),
        )?;
        match self.balance_age_ms {
            Some(age_ms) => write!(f, " balance_age_ms={age_ms}")?,
            None => write!(f, " balance_age_ms=none")?,
        }
        write!(
            f,
            " waited_ms={} retry_after_ms={} runs={}",
            self.waited_ms, self.retry_after_ms, self.executions,
        )
    }
}

impl Display for AttemptEnded<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=attempt_ended id={:?} {} service={} server={} end={:?} reason={:?} verdict={:?} sends={} runs={} left_ms={} budget_left={}",
            self.id,
            self.fingerprint,
            self.service,
            self.server,
            self.end,
            self.reason,
            self.verdict,
            self.attempts,
            self.executions,
            self.left_ms,
            self.budget_left,
        )
    }
}

impl Display for TakenUp<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=taken_up id={:?} resumes={:?} source={} stored={} answers={} builds={} took_ms={}",
            self.id,
            self.resumes.unwrap_or("none"),
            self.source,
            self.stored,
            self.answers,
            self.builds,
            self.took_ms
        )
    }
}

impl Display for RequestEnded<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=request id={:?} route={} workspace={} service={} configuration={} outcome={} status={} server={} sends={} runs={} took_ms={} left_ms={}",
            self.id,
            self.route,
            self.workspace.unwrap_or("none"),
            self.service,
            self.configuration,
            self.outcome,
            self.status,
            self.server.unwrap_or("none"),
            self.attempts,
            self.executions,
            self.took_ms,
            self.left_ms,
        )
    }
}
