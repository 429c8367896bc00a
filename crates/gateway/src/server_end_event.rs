//! Log events for incarnations of backend servers that are over while they are still registered.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use log::Level;

use crate::log_event::LogEvent;

/// What shows whether a registered incarnation of a backend server is over.
#[derive(Clone, Copy, Debug)]
pub enum ServerEndEvent<'a> {
    /// An incarnation of a backend server is over, as another server has its address.
    Ended {
        /// Its id.
        server: &'a str,
        /// Its address.
        address: SocketAddr,
    },
    /// An incarnation of a backend server is assumed to be over, as a later one of its service is
    /// registered at its address.
    Replaced {
        /// Its id.
        server: &'a str,
        /// Id of the later one.
        by: &'a str,
        /// Their address.
        address: SocketAddr,
    },
    /// A backend server that counted as over runs, as its registration was renewed since.
    Renewed {
        /// Its id.
        server: &'a str,
        /// Where it was learned: `store` or `peer`.
        source: &'a str,
    },
}

impl LogEvent for ServerEndEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}

impl Display for ServerEndEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ServerEndEvent::Ended { server, address } => {
                write!(f, "event=server_ended server={server} address={address}")
            }
            ServerEndEvent::Replaced {
                server,
                by,
                address,
            } => write!(
                f,
                "event=server_replaced server={server} by={by} address={address}"
            ),
            ServerEndEvent::Renewed { server, source } => {
                write!(f, "event=server_renewed server={server} source={source}")
            }
        }
    }
}
