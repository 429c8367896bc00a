//! Errors of calls to a router.

use serde::Deserialize;
use snafu::Snafu;

/// Why a call to a router failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallerError {
    /// The connection could not be opened or broke.
    #[snafu(display("connection failed: {reason}"))]
    Transport {
        /// Description of the transport error.
        reason: String,
    },
    /// The response is not in the expected format.
    #[snafu(display("invalid response: {reason}"))]
    InvalidResponse {
        /// What is wrong with the response.
        reason: String,
    },
    /// The router refused the call, with a response or with an event in its stream.
    #[snafu(display("refused with status {status}: {reason}, {outcome}"))]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Machine-readable reason of the refusal.
        reason: String,
        /// Whether the call may have been executed.
        outcome: String,
        /// Seconds to wait before a retry, if the router gave a time.
        retry_after: Option<u64>,
    },
}

/// Body of a refusal, as `application/problem+json`.
#[derive(Debug, Deserialize)]
struct Problem {
    status: u16,
    reason: String,
    outcome: String,
    retry_after: Option<u64>,
}

impl CallerError {
    /// Returns `Refused` with the fields of a refusal's body, or `InvalidResponse` if it can't be
    /// parsed.
    pub(crate) fn from_problem(body: &[u8]) -> CallerError {
        match serde_json::from_slice::<Problem>(body) {
            Ok(problem) => CallerError::Refused {
                status: problem.status,
                reason: problem.reason,
                outcome: problem.outcome,
                retry_after: problem.retry_after,
            },
            Err(e) => CallerError::invalid_response(e),
        }
    }

    /// Returns `Transport` with the given reason.
    pub(crate) fn transport<R>(reason: R) -> CallerError
    where
        R: ToString,
    {
        CallerError::Transport {
            reason: reason.to_string(),
        }
    }

    /// Returns `InvalidResponse` with the given reason.
    pub(crate) fn invalid_response<R>(reason: R) -> CallerError
    where
        R: ToString,
    {
        CallerError::InvalidResponse {
            reason: reason.to_string(),
        }
    }
}
