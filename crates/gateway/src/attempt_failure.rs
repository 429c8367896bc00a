//! Outcomes of attempts.

use http::Response;
use relay::AttemptEnd;
use relay::ServerKey;

use crate::body::AnswerBody;

/// Retry-after time for requests that a backend server rejected, in milliseconds.
const REJECTED_RETRY_MS: u64 = 250;

/// A complete response of a backend server.
pub struct WholeAnswer {
    /// Response as the caller gets it.
    pub response: Response<AnswerBody>,
    /// Backend server that sent it.
    pub server: ServerKey,
}

/// An attempt that ended without a response for the caller.
pub struct Ended {
    /// How it ended.
    pub end: AttemptEnd,
    /// Description of the failure, for the log.
    pub reason: String,
    /// Error response of the backend server, if it sent one.
    pub answer: Option<WholeAnswer>,
    /// Whether the deadline has passed.
    pub timed_out: bool,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Ended {
    /// Returns a failure without a response of the backend server.
    pub fn new(end: AttemptEnd, reason: impl Into<String>) -> Ended {
        Ended {
            end,
            reason: reason.into(),
            answer: None,
            timed_out: false,
            retry_after_ms: REJECTED_RETRY_MS,
        }
    }

    /// Returns the failure of an attempt whose deadline passed without a response.
    pub fn timed_out() -> Ended {
        Ended {
            timed_out: true,
            ..Ended::new(AttemptEnd::Unknown, "deadline")
        }
    }

    /// Returns the failure of an attempt whose backend server sent an error response.
    pub fn failed(answer: WholeAnswer) -> Ended {
        let reason = format!("status {}", answer.response.status().as_u16());
        Ended {
            answer: Some(answer),
            ..Ended::new(AttemptEnd::Failed, reason)
        }
    }
}
