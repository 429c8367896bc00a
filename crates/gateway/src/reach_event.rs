//! Log events for what this router reaches itself, and for connections through routers. Times are in
//! milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use log::Level;
use relay::ReachChange;

use crate::health_check_error::HealthCheckError;
use crate::log_event::LogEvent;

/// A change of what this router reaches, or a connection through a router.
#[derive(Debug)]
pub enum ReachEvent<'a> {
    /// A failure domain can't be reached any more, or can again.
    Changed(&'a ReachChange),
    /// A connection to a backend server was tried, to see whether it can be reached.
    Probe {
        /// Id of the server.
        server: &'a str,
        /// Error of the connection; none if it was established.
        reason: Option<io::Error>,
    },
    /// It was checked whether a backend server still runs whose response ended with its connection.
    HealthChecked {
        /// Id of the server.
        server: &'a str,
        /// Time that it took.
        took_ms: u64,
        /// Why that isn't known; none if it does.
        reason: Option<&'a HealthCheckError>,
    },
    /// Another router was asked for a connection to a backend server.
    Asked {
        /// Instance hash of the server.
        server: u64,
        /// Address of the router.
        router: SocketAddr,
        /// Time that it took.
        took_ms: u64,
        /// Why there is no connection; none if there is.
        reason: Option<String>,
    },
    /// Another router asked this one for a connection to a backend server.
    Accepted {
        /// Instance hash of the server.
        server: u64,
        /// Address of the router's VM.
        from: IpAddr,
        /// Why there is no connection; none if there is.
        reason: Option<String>,
    },
}

impl LogEvent for ReachEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}

impl Display for ReachEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ReachEvent::Changed(ReachChange::Cut {
                domain,
                unreachable,
            }) => write!(
                f,
                "event=domain_cut domain={domain} unreachable={unreachable}"
            ),
            ReachEvent::Changed(ReachChange::Reached { domain, cut_ms }) => {
                write!(f, "event=domain_reached domain={domain} cut_ms={cut_ms}")
            }
            ReachEvent::Probe { server, reason } => {
                write!(
                    f,
                    "event=server_probe server={server} {}",
                    outcome(reason.as_ref())
                )
            }
            ReachEvent::HealthChecked {
                server,
                took_ms,
                reason: None,
            } => write!(
                f,
                "event=health_checked server={server} took_ms={took_ms} outcome=runs"
            ),
            ReachEvent::HealthChecked {
                server,
                took_ms,
                reason: Some(reason),
            } => write!(
                f,
                "event=health_checked server={server} took_ms={took_ms} outcome=unknown reason={:?}",
                reason.to_string()
            ),
            ReachEvent::Asked {
                server,
                router,
                took_ms,
                reason,
            } => write!(
                f,
                "event=tunnel_asked server={server:016x} peer={router} took_ms={took_ms} {}",
                outcome(reason.as_ref())
            ),
            ReachEvent::Accepted {
                server,
                from,
                reason,
            } => write!(
                f,
                "event=tunnel_accepted server={server:016x} from={from} {}",
                outcome(reason.as_ref())
            ),
        }
    }
}

fn outcome<E>(reason: Option<E>) -> String
where
    E: Display,
{
    match reason {
        None => "outcome=connected".to_owned(),
        Some(reason) => format!("outcome=failed reason={:?}", reason.to_string()),
    }
}
