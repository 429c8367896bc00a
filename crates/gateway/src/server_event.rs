//! Log events for what this router learns of backend servers. Times are in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use log::Level;
use relay::RateLimit;
use relay::Registration;

use crate::log_event::LogEvent;

/// A change of what this router knows of a backend server.
#[derive(Clone, Debug)]
pub enum ServerEvent<'a> {
    /// An engine has loaded a version of weights.
    WeightsLoaded {
        /// Id of the engine.
        server: &'a str,
        /// Name of the model.
        model: &'a str,
        /// Version that the engine has now.
        version: u64,
    },
    /// A backend server was registered.
    Added {
        /// Its registration.
        registration: &'a Registration,
        /// Where it was learned: `store` or `peer`.
        source: &'a str,
    },
    /// A backend server has begun to drain.
    Draining {
        /// Its id.
        server: &'a str,
        /// Where it was learned: `store`, `peer`, or `response` for one of its own.
        source: &'a str,
    },
    /// A backend server's registration is missing, and kept because the platform may restore it.
    Missing {
        /// Its id.
        server: &'a str,
        /// Time since the end of the outage of the store that may have removed it.
        outage_age_ms: u64,
        /// Where it was learned: `store` or `peer`.
        source: &'a str,
    },
    /// A backend server's registration ended.
    Removed {
        /// Its id.
        server: &'a str,
        /// Where it was learned: `store` or `peer`.
        source: &'a str,
    },
    /// A backend server has asked this router for no requests for a while.
    RetryAfter {
        /// Its id.
        server: &'a str,
        /// Time for which it gets none.
        retry_after_ms: u64,
        /// Time for which it asked; longer if it was cut.
        asked_ms: u64,
    },
    /// A backend server has rejected one more request in a row, or ended such a row.
    Rejections(RejectionsKnown<'a>),
    /// A backend server has named another number of rejections that it stands, or none any more.
    Brittle {
        /// Its id.
        server: &'a str,
        /// Rejections of all routers together in a second.
        rejections_per_s: Option<u32>,
        /// Where it was learned: `response` for one to this router, or `peer`.
        source: &'a str,
    },
    /// A place was asked for a request in a backend server that stands few rejections.
    Place(PlaceDecision<'a>),
    /// A permit was asked for a request to a backend server that limits them.
    Permit(PermitDecision<'a>),
    /// A backend server has named another limit on the requests of all routers together, or none
    /// any more.
    Limit {
        /// Its id.
        server: &'a str,
        /// Limit that was known before.
        before: Option<RateLimit>,
        /// Limit that it names.
        limit: Option<RateLimit>,
        /// Where it was learned: `response` for one to this router, or `peer`.
        source: &'a str,
    },
}

/// What is known of the rejections in a row by a backend server.
#[derive(Clone, Debug)]
pub struct RejectionsKnown<'a> {
    /// Id of the backend server.
    pub server: &'a str,
    /// Rejections in a row; 0 if a response ended the row.
    pub in_a_row: u32,
    /// Time until it gets requests of this router again.
    pub retry_after_ms: u64,
    /// Requests of all routers in flight there, as far as known.
    pub requests: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Age of the oldest of the other routers' loads included in `requests`.
    pub load_age_ms: u64,
    /// Where it was learned: `response` for one to this router, or `peer`.
    pub source: &'a str,
}

/// Whether a request may be sent to a backend server that limits them, and why.
#[derive(Clone, Debug)]
pub struct PermitDecision<'a> {
    /// Id that the caller gave the request; `order` or `report` for one of this router's own.
    pub id: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// Limit that it names.
    pub limit: Option<RateLimit>,
    /// Time since it named that.
    pub limit_age_ms: u64,
    /// Hash of the name of the router that issues permits for it.
    pub issuer: u64,
    /// Outcome: `granted`, `denied` or `no_response`.
    pub outcome: &'a str,
    /// Time until this router asks again, if it got none.
    pub retry_after_ms: u64,
    /// Time that the decision took.
    pub took_ms: u64,
}

/// Whether there is a place for a request in a backend server, and why.
#[derive(Clone, Debug)]
pub struct PlaceDecision<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// Rejections a second that it stands.
    pub rejections_per_s: Option<u32>,
    /// Hash of the name of the router that grants places in it.
    pub issuer: u64,
    /// Outcome: `granted`, `denied` or `no_response`.
    pub outcome: &'a str,
    /// Time until this router asks again, if it got none.
    pub retry_after_ms: u64,
    /// Time that the decision took.
    pub took_ms: u64,
}

impl LogEvent for ServerEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}

impl Display for ServerEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ServerEvent::WeightsLoaded {
                server,
                model,
                version,
            } => write!(
                f,
                "event=weights_taken server={server} model={model:?} version={version}"
            ),
            ServerEvent::Added {
                registration,
                source,
            } => write_added(f, registration, source),
            ServerEvent::Draining { server, source } => {
                write!(f, "event=server_draining server={server} source={source}")
            }
            ServerEvent::Missing {
                server,
                outage_age_ms,
                source,
            } => write!(
                f,
                "event=server_missing server={server} outage_age_ms={outage_age_ms} source={source}"
            ),
            ServerEvent::Removed { server, source } => {
                write!(f, "event=server_removed server={server} source={source}")
            }
            ServerEvent::RetryAfter {
                server,
                retry_after_ms,
                asked_ms,
            } => write!(
                f,
                "event=server_retry_after server={server} retry_after_ms={retry_after_ms} asked_ms={asked_ms}"
            ),
            ServerEvent::Brittle {
                server,
                rejections_per_s,
                source,
            } => {
                let number = number(*rejections_per_s);
                write!(f, "event=server_brittle server={server} rejections_per_s={number} source={source}")
            }
            ServerEvent::Rejections(known) => known.fmt(f),
            ServerEvent::Place(decision) => decision.fmt(f),
            ServerEvent::Permit(decision) => decision.fmt(f),
            ServerEvent::Limit {
                server,
                before,
                limit,
                source,
            } => write!(
                f,
                "event=server_limit server={server} per_s={} before={} source={source}",
                per_second(*limit),
                per_second(*before)
            ),
        }
    }
}

fn write_added(f: &mut Formatter<'_>, registration: &Registration, source: &str) -> fmt::Result {
    write!(
        f,
        "event=server_added server={} service={} domain={} address={} state={:?} build={:?} weights={:?} source={source}",
        registration.id,
        registration.service,
        registration.domain,
        registration.address,
        registration.state,
        registration.build,
        registration.weights.values().collect::<Vec<_>>()
    )
}

impl Display for RejectionsKnown<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=server_rejections server={} in_a_row={} retry_after_ms={} requests={} slots={} load_age_ms={} source={}",
            self.server,
            self.in_a_row,
            self.retry_after_ms,
            self.requests,
            self.slots,
            self.load_age_ms,
            self.source
        )
    }
}

impl Display for PermitDecision<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=permit id={:?} server={} per_s={} limit_age_ms={} issuer={:016x} outcome={} retry_after_ms={} took_ms={}",
            self.id,
            self.server,
            per_second(self.limit),
            self.limit_age_ms,
            self.issuer,
            self.outcome,
            self.retry_after_ms,
            self.took_ms
        )
    }
}

impl Display for PlaceDecision<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=place id={:?} server={} rejections_per_s={} issuer={:016x} outcome={} retry_after_ms={} took_ms={}",
            self.id,
            self.server,
            number(self.rejections_per_s),
            self.issuer,
            self.outcome,
            self.retry_after_ms,
            self.took_ms
        )
    }
}

fn number(number: Option<u32>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

fn per_second(limit: Option<RateLimit>) -> String {
    limit.map_or_else(
        || "none".to_owned(),
        |limit| format!("{:.1}", limit.to_per_second()),
    )
}
