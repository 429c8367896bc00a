//! How a backend server's response ended, for bodies and streams alike.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::io;

use http::StatusCode;
use relay::AttemptEnd;

use crate::connection::error_chain;
use crate::connection::io_kind;

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The backend server has sent all of it.
    Whole,
    /// Its connection ended before it did, for the reason given.
    Broken(String),
    /// Nothing shows whether it is whole, for the reason given.
    Unknown(String),
}

impl ResponseEnd {
    /// Returns how a response ended whose connection failed. A peer that can't be reached, or sends
    /// invalid bytes, may be alive, and so may one behind a tunnel, which may have ended by itself.
    pub fn of_error(e: &hyper::Error, is_tunnel: bool) -> ResponseEnd {
        let reason = error_chain(e);
        if is_tunnel || !(e.is_incomplete_message() || is_closed(e)) {
            ResponseEnd::Unknown(reason)
        } else {
            ResponseEnd::Broken(reason)
        }
    }

    /// Returns how the attempt ended to which a response with this status came.
    pub fn attempt_end(&self, status: StatusCode) -> AttemptEnd {
        match self {
            ResponseEnd::Whole if status.is_success() => AttemptEnd::Completed,
            ResponseEnd::Whole => AttemptEnd::Failed,
            ResponseEnd::Broken(_) => AttemptEnd::BrokenOff,
            ResponseEnd::Unknown(_) => AttemptEnd::Unknown,
        }
    }
}

impl Display for ResponseEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ResponseEnd::Whole => f.write_str("whole"),
            ResponseEnd::Broken(reason) | ResponseEnd::Unknown(reason) => f.write_str(reason),
        }
    }
}

/// Returns whether an error says that the peer has closed the connection.
fn is_closed(e: &hyper::Error) -> bool {
    matches!(
        io_kind(e),
        Some(
            io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::UnexpectedEof
        )
    )
}
