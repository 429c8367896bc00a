//! Responses that the gateway gives without a backend server.

use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use policy::Time;

use crate::body::ResponseBody;

/// Shortest retry-after time of a request that crashes backend servers, in milliseconds.
const MIN_CRASHING_RETRY_AFTER_MS: u64 = 1_000;

/// Retry-after time of a stream that no reachable router knows, in milliseconds. Others may be
/// reachable by then.
const UNKNOWN_STREAM_RETRY_AFTER_MS: u64 = 1_000;

/// Reason why a request gets no response of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its head is invalid.
    BadRequest,
    /// Its key is missing or belongs to no workspace, and the route needs one.
    UnknownKey,
    /// No route matches its host and path.
    NoRoute,
    /// Its body exceeds the limit.
    TooLarge,
    /// It did not run and will not run, so that the caller may retry it.
    NotRun {
        /// Reason in one word, for response, log and metrics.
        reason: &'static str,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It did not run, as its workspace has used its quota up.
    OverQuota {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have run; the outcome is unknown.
    Unknown,
    /// It may have run, and its deadline has passed.
    TimedOut,
}

impl Refusal {
    /// Returns the refusal of a request that crashes servers, which may be tried again at `until`.
    pub fn crashes_servers(now: Time, until: Time) -> Refusal {
        Refusal::NotRun {
            reason: "crashes_servers",
            retry_after_ms: until.millis_since(now).max(MIN_CRASHING_RETRY_AFTER_MS),
        }
    }

    /// Returns the refusal of a stream that can't go on, as it isn't known at which build it began.
    pub fn unknown_stream() -> Refusal {
        Refusal::NotRun {
            reason: "unknown_stream",
            retry_after_ms: UNKNOWN_STREAM_RETRY_AFTER_MS,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Unknown => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason in one word, for response, log and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_request",
            Refusal::UnknownKey => "unknown_key",
            Refusal::NoRoute => "no_route",
            Refusal::TooLarge => "too_large",
            Refusal::NotRun { reason, .. } => reason,
            Refusal::OverQuota { .. } => "over_quota",
            Refusal::Unknown => "unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Refusal::NotRun { retry_after_ms, .. } | Refusal::OverQuota { retry_after_ms } => {
                Some(retry_after_ms)
            }
            _ => None,
        }
    }

    /// Returns the response: the reason as JSON, and `retry-after` in seconds if it did not run.
    pub fn response(self) -> Response<ResponseBody> {
        let text = format!("{{\"reason\":\"{}\"}}\n", self.reason());
        let mut response = Response::new(ResponseBody::own(text));
        *response.status_mut() = self.status();
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
            let seconds = HeaderValue::try_from(seconds).expect("digits are a valid header value");
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
