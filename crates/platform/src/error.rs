//! Errors of calls to the platform.

use snafu::Snafu;

/// A call to the platform that failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The call did not reach the platform.
    #[snafu(display("{step} at {peer}: not reached: {reason}"))]
    Unreachable {
        /// Step that failed.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// What the transport said.
        reason: String,
    },
    /// The call may have taken effect, but its answer was lost.
    #[snafu(display("{step} at {peer}: answer lost: {reason}"))]
    ResponseLost {
        /// Step that failed.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// What the transport said.
        reason: String,
    },
    /// The platform answered that it won't serve the call now.
    #[snafu(display("{step} at {peer}: refused with status {status}"))]
    Refused {
        /// Step that failed.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer does not have the form that the protocol names.
    #[snafu(display("{step} at {peer}: bad answer: {reason}"))]
    InvalidResponse {
        /// Step that failed.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// What was wrong.
        reason: String,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;
