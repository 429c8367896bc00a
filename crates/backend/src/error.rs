//! Errors of calls to backend servers, by whether the call may have run.

use snafu::Snafu;

/// Failure of a call to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No byte of the request was sent: no connection was established, it closed before the first
    /// byte, or the request could not be built.
    #[snafu(display("{step} at {peer}: not connected: {reason}"))]
    NotConnected {
        /// Name of the call that failed, e.g. `generate`.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// Error text of the transport or of the protocol.
        reason: String,
    },
    /// The backend server refused the request without running any of it.
    #[snafu(display("{step} at {peer}: refused with status {status}: {reason}"))]
    Refused {
        /// Name of the call that failed, e.g. `generate`.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Reason in the body: `leaving`, `overloaded`, `stale_incarnation`, `stale_weights`, ...
        reason: String,
    },
    /// The call failed after bytes may have been sent, so it may have run, in part or completely.
    #[snafu(display("{step} at {peer}: broken: {reason}"))]
    Broken {
        /// Name of the call that failed, e.g. `generate`.
        step: &'static str,
        /// Address of the backend server.
        peer: String,
        /// Error text of the transport or of the protocol.
        reason: String,
    },
}

/// Result of a call to a backend server.
pub type Result<T> = std::result::Result<T, Error>;
