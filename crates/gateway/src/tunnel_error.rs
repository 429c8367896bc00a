//! Why there is no connection to a backend server through another router.

use std::io;

use http::StatusCode;
use snafu::Snafu;

/// Reason why there is no connection to a backend server through another router.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TunnelError {
    /// The other router could not connect to the server.
    #[snafu(display("router could not connect to the server: {source}"))]
    Server {
        /// Error of the connection.
        source: io::Error,
    },
    /// The other router does not connect for this one.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why.
        reason: &'static str,
    },
    /// The other router responded so.
    #[snafu(display("status {}", status.as_u16()))]
    Status {
        /// Status of its response.
        status: StatusCode,
    },
    /// The other router can't be reached, or its response can't be read.
    #[snafu(display("{step}: {reason}"))]
    Router {
        /// Step that failed.
        step: &'static str,
        /// Description of the error.
        reason: String,
    },
}

impl TunnelError {
    /// Returns the status by which a router says so.
    pub fn status(&self) -> StatusCode {
        match self {
            TunnelError::Server { .. } => StatusCode::BAD_GATEWAY,
            TunnelError::Status { status } => *status,
            TunnelError::Refused { .. } | TunnelError::Router { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Returns whether the other router tried to connect to the server in vain.
    pub fn is_of_server(&self) -> bool {
        self.status() == StatusCode::BAD_GATEWAY
    }
}
