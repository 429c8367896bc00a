//! Errors of calls to backend servers.

use snafu::Snafu;

/// A call to a backend server that failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection was made, so no byte of the request was sent.
    #[snafu(display("{step} at {peer}: not connected: {reason}"))]
    NotConnected {
        /// Step that failed.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// What the transport said.
        reason: String,
    },
    /// The backend server refused before it ran anything.
    #[snafu(display("{step} at {peer}: refused with status {status}: {reason}"))]
    Refused {
        /// Step that failed.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Reason in the body: `leaving`, `overloaded`, `stale_incarnation`, `stale_weights`, ...
        reason: String,
    },
    /// The connection broke after bytes may have been sent.
    #[snafu(display("{step} at {peer}: broken: {reason}"))]
    Broken {
        /// Step that failed.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// What the transport said.
        reason: String,
    },
}

/// Result of a call to a backend server.
pub type Result<T> = std::result::Result<T, Error>;
