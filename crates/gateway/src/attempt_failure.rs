//! Outcomes of attempts.

use http::Response;
use relay::AttemptEnd;
use relay::ServerKey;

use crate::body::ResponseBody;

/// Retry-after time for requests that could not be sent or were rejected by a backend
/// server, in milliseconds.
const REJECTED_RETRY_AFTER_MS: u64 = 250;

/// A complete response of a backend server.
pub struct FullResponse {
    /// Response as the caller gets it.
    pub response: Response<ResponseBody>,
    /// Backend server that sent it.
    pub server: ServerKey,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

/// An attempt that failed: without a complete response, or with an error response.
pub struct AttemptFailure {
    /// How it ended.
    pub end: AttemptEnd,
    /// Description of the failure, for the log.
    pub reason: String,
    /// Complete error response of a backend server that may have run the request; the caller
    /// may get it.
    pub error_response: Option<FullResponse>,
    /// Whether the deadline has passed.
    pub timed_out: bool,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl AttemptFailure {
    /// Returns a failure without a response of the backend server.
    pub fn new(end: AttemptEnd, reason: impl Into<String>) -> AttemptFailure {
        AttemptFailure {
            end,
            reason: reason.into(),
            error_response: None,
            timed_out: false,
            retry_after_ms: REJECTED_RETRY_AFTER_MS,
        }
    }

    /// Returns the failure of an attempt whose deadline passed without a response.
    pub fn timed_out() -> AttemptFailure {
        AttemptFailure {
            timed_out: true,
            ..AttemptFailure::new(AttemptEnd::Unknown, "deadline")
        }
    }

    /// Returns the failure of an attempt whose backend server sent an error response.
    pub fn from_response(full: FullResponse) -> AttemptFailure {
        let reason = format!("status {}", full.response.status().as_u16());
        let end = full.end;
        AttemptFailure {
            error_response: Some(full),
            ..AttemptFailure::new(end, reason)
        }
    }
}
