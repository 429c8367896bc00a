//! What a caller is told when a call fails.

use serde::Deserialize;
use snafu::Snafu;

/// What a caller is told when a call fails.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallerError {
    /// The connection failed or broke.
    #[snafu(display("connection: {reason}"))]
    Transport {
        /// What the transport said.
        reason: String,
    },
    /// The answer doesn't have the form that callers expect.
    #[snafu(display("bad answer: {reason}"))]
    InvalidResponse {
        /// What was wrong.
        reason: String,
    },
    /// The call was refused, before its stream or within it.
    #[snafu(display("refused with status {status}: {reason}, {outcome}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason.
        reason: String,
        /// What became of the call.
        outcome: String,
        /// Seconds after which the caller may come back.
        retry_after: Option<u64>,
    },
}

/// Body of a refusal.
#[derive(Debug, Deserialize)]
struct Problem {
    status: u16,
    reason: String,
    outcome: String,
    retry_after: Option<u64>,
}

impl CallerError {
    /// Reads the body of a refusal.
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

    /// Tells of a failed connection.
    pub(crate) fn transport<R>(reason: R) -> CallerError
    where
        R: ToString,
    {
        CallerError::Transport {
            reason: reason.to_string(),
        }
    }

    /// Tells of an answer in another form than expected.
    pub(crate) fn invalid_response<R>(reason: R) -> CallerError
    where
        R: ToString,
    {
        CallerError::InvalidResponse {
            reason: reason.to_string(),
        }
    }
}
