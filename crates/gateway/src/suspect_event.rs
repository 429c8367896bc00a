//! Log events for requests that may crash backend servers.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use log::Level;
use relay::SuspectKey;

use crate::log_event::LogEvent;

/// A change of what this router knows of requests that may crash backend servers.
#[derive(Clone, Debug)]
pub enum SuspectEvent<'a> {
    /// A strike was recorded: requests of a suspect were in flight on a backend server when that
    /// server ended.
    Strike {
        /// The suspect.
        suspect: SuspectKey,
        /// Instance hash of the server.
        server: u64,
        /// Number of strikes against the suspect that count.
        strikes: usize,
    },
    /// Requests of a suspect are refused from now on.
    Blocked {
        /// The suspect.
        suspect: SuspectKey,
        /// Where the last strike was learned: `own`, `peer` or `store`.
        source: &'a str,
    },
    /// A request of a blocked suspect is sent as a trial.
    Trial {
        /// The suspect.
        suspect: SuspectKey,
    },
    /// A request of a suspect was run to its end, so that it does not crash servers.
    Cleared {
        /// The suspect.
        suspect: SuspectKey,
        /// Number of strikes that counted until now.
        strikes: usize,
    },
}

impl LogEvent for SuspectEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}

impl Display for SuspectEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            SuspectEvent::Strike {
                suspect,
                server,
                strikes,
            } => write!(
                f,
                "event=strike {suspect} server={server:016x} strikes={strikes}"
            ),
            SuspectEvent::Blocked { suspect, source } => {
                write!(f, "event=blocked {suspect} source={source}")
            }
            SuspectEvent::Trial { suspect } => write!(f, "event=trial {suspect}"),
            SuspectEvent::Cleared { suspect, strikes } => {
                write!(f, "event=cleared {suspect} strikes={strikes}")
            }
        }
    }
}
