//! What is decided for a request, as lines of the log. Times are in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use log::Level;
use relay::AttemptEnd;
use relay::PartKey;
use relay::Unplaceable;
use relay::Verdict;

use crate::fleet_summary::FleetSummary;
use crate::log_event::LogEvent;

/// A decision for a request, or how it ended.
#[derive(Clone, Debug)]
pub enum RequestEvent<'a> {
    /// A request goes to a backend server.
    Sent(Sent<'a>),
    /// An attempt ended without a whole answer.
    AttemptEnded(AttemptEnded<'a>),
    /// No backend server takes a request.
    Unplaced {
        /// Id of the request.
        id: &'a str,
        /// Service that runs it.
        service: &'a str,
        /// Why none takes it.
        cause: Unplaceable,
        /// What is known of the service's servers.
        fleet: FleetSummary,
    },
    /// A request ended.
    Ended(RequestEnded<'a>),
    /// A request was refused before anything was decided for it.
    Refused {
        /// Id of the request, if it has one.
        id: Option<&'a str>,
        /// Version of the configuration that decided, if one did.
        configuration: Option<u64>,
        /// Status of the answer.
        status: u16,
        /// Why.
        reason: &'a str,
    },
    /// A request broke off while it was read.
    RequestBrokeOff {
        /// Id of the request.
        id: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// A stream can't go on anywhere.
    ResumeFailed {
        /// Id of the request.
        id: &'a str,
        /// Why.
        reason: &'a str,
    },
}

/// Where a request goes, and on what grounds.
#[derive(Clone, Debug)]
pub struct Sent<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// Estimate of all that the choice costs.
    pub cost_ms: f64,
    /// Time that requests before it are believed to take.
    pub wait_ms: f64,
    /// Time to read its prompt.
    pub reading_ms: f64,
    /// Requests that are believed to be there.
    pub requests: u32,
    /// Age of the oldest of the other routers' loads in that.
    pub load_age_ms: u64,
    /// Version of the weights that the server is believed to have.
    pub weights: Option<u64>,
    /// Large shared part of the prompt.
    pub part: Option<PartKey>,
    /// Whether the server is believed to hold it.
    pub caches_prefix: bool,
    /// From where it may take the part.
    pub fetch: &'static str,
    /// Whether it saves the part.
    pub saves: bool,
    /// Age of the server's registration.
    pub entry_age_ms: u64,
    /// Time until the deadline.
    pub left_ms: u64,
}

/// How an attempt ended, and what follows.
#[derive(Clone, Debug)]
pub struct AttemptEnded<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Service that runs it.
    pub service: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Why.
    pub reason: &'a str,
    /// What follows.
    pub verdict: Verdict,
    /// Sends so far.
    pub attempts: u32,
    /// Sends that ran or may have run.
    pub executions: u32,
    /// Time until the deadline.
    pub left_ms: u64,
    /// Repeats left for the service.
    pub budget_left: u32,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct RequestEnded<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Its route.
    pub route: &'a str,
    /// Its workspace, if it has one.
    pub workspace: Option<&'a str>,
    /// Service that ran it.
    pub service: &'a str,
    /// Version of the configuration that decided.
    pub configuration: u64,
    /// How it ended.
    pub outcome: &'a str,
    /// Status of the answer, 0 for none.
    pub status: u16,
    /// Id of the backend server that answered, if one did.
    pub server: Option<&'a str>,
    /// Sends.
    pub attempts: u32,
    /// Sends that ran or may have run.
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
            RequestEvent::Sent(_) => true,
            RequestEvent::Ended(ended) => ended.outcome == "served",
            _ => false,
        }
    }
}

impl Display for RequestEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            RequestEvent::Sent(sent) => sent.fmt(f),
            RequestEvent::AttemptEnded(ended) => ended.fmt(f),
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
            RequestEvent::ResumeFailed { id, reason } => {
                write!(f, "event=resume_failed id={id:?} reason={reason}")
            }
        }
    }
}

impl Display for Sent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=sent id={:?} server={} cost_ms={:.0} wait_ms={:.0} reading_ms={:.0} requests={} load_age_ms={} weights={} part={:016x} held={} fetch={} save={} entry_age_ms={} left_ms={}",
            self.id,
            self.server,
            self.cost_ms,
            self.wait_ms,
            self.reading_ms,
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

impl Display for AttemptEnded<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=attempt_ended id={:?} service={} server={} end={:?} reason={:?} verdict={:?} sends={} runs={} left_ms={} budget_left={}",
            self.id,
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
