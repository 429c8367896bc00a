//! Why a health check doesn't show that a backend server still runs.

use snafu::Snafu;

use crate::connection::ConnectError;
use crate::connection_pool::SendError;

/// Why a check doesn't show that a backend server still runs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HealthCheckError {
    /// The server is not registered any more.
    #[snafu(display("health check: server is no longer registered"))]
    Unregistered,
    /// No connection to it could be established.
    #[snafu(display("health check: {source}"))]
    Unreachable {
        /// Error of the connection.
        source: ConnectError,
    },
    /// It didn't respond.
    #[snafu(display("health check: {source}"))]
    NoResponse {
        /// Error of the request.
        source: SendError,
    },
    /// Another incarnation or another server responded.
    #[snafu(display("health check: another incarnation responded"))]
    AnotherIncarnation,
    /// It took too long.
    #[snafu(display("health check: timeout"))]
    Timeout,
}

impl HealthCheckError {
    /// Returns whether the server has reset the connection, as it does with those beyond its limit.
    pub fn is_reset(&self) -> bool {
        let source = match self {
            HealthCheckError::NoResponse { source } => source,
            _ => return false,
        };
        matches!(source, SendError::Broken { is_reset: true, .. })
    }
}
