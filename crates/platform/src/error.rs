//! Errors of calls to the platform.

use snafu::Snafu;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform could not be reached, or gave no complete response to a call that only
    /// reads. The call changed nothing there.
    #[snafu(display("{step} at {peer}: unreachable: {reason}"))]
    Unreachable {
        /// Name of the call, for example `get`.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// Error of the transport.
        reason: String,
    },
    /// There was no complete response to a call that writes; it may have taken effect.
    #[snafu(display("{step} at {peer}: response lost: {reason}"))]
    ResponseLost {
        /// Name of the call, for example `get`.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// Error of the transport.
        reason: String,
    },
    /// The platform responded with an error status.
    #[snafu(display("{step} at {peer}: refused with status {status}"))]
    Refused {
        /// Name of the call, for example `get`.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// HTTP status code.
        status: u16,
    },
    /// The response does not follow the protocol, or the request could not be encoded.
    #[snafu(display("{step} at {peer}: invalid response: {reason}"))]
    InvalidResponse {
        /// Name of the call, for example `get`.
        step: &'static str,
        /// Address of the platform.
        peer: String,
        /// What is wrong with the response or the request.
        reason: String,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;
