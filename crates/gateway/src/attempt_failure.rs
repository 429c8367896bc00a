//! Ends of attempts.

use http::Response;
use relay::AttemptEnd;
use relay::ServerKey;

use crate::body::AnswerBody;

/// Wait that callers are told after a backend server turned them away, in milliseconds.
const REJECTED_RETRY_MS: u64 = 250;

/// A whole answer of a backend server.
pub struct WholeAnswer {
    /// Answer as the caller gets it.
    pub response: Response<AnswerBody>,
    /// Backend server that gave it.
    pub server: ServerKey,
}

/// An attempt that ended without a whole answer.
pub struct Ended {
    /// How it ended.
    pub end: AttemptEnd,
    /// What happened, for the log.
    pub reason: String,
    /// The backend server's own failure.
    pub answer: Option<WholeAnswer>,
    /// Whether the deadline has passed.
    pub timed_out: bool,
    /// When a place is expected, in milliseconds.
    pub retry_after_ms: u64,
}

impl Ended {
    /// Returns the end of an attempt, with what happened.
    pub fn new(end: AttemptEnd, reason: impl Into<String>) -> Ended {
        Ended {
            end,
            reason: reason.into(),
            answer: None,
            timed_out: false,
            retry_after_ms: REJECTED_RETRY_MS,
        }
    }

    /// The deadline passed without an answer.
    pub fn timed_out() -> Ended {
        Ended {
            timed_out: true,
            ..Ended::new(AttemptEnd::Unknown, "deadline")
        }
    }

    /// The backend server answered that the request failed.
    pub fn failed(answer: WholeAnswer) -> Ended {
        let reason = format!("status {}", answer.response.status().as_u16());
        Ended {
            answer: Some(answer),
            ..Ended::new(AttemptEnd::Failed, reason)
        }
    }
}
