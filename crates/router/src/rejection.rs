//! Requests that are rejected before the node sees them.

use http::StatusCode;
use snafu::Snafu;

use crate::BadEventId;

/// Time after which a caller may retry a request for which there was no memory, in seconds. Connections
/// that hold memory without progress are evicted within this time.
pub const NO_MEMORY_RETRY_S: u64 = 1;

/// Why a request is rejected before the node sees it. Nothing was sent to a backend server.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Rejection {
    /// The body is not a valid request for this path.
    #[snafu(display("the body is not a request for this path: {reason}"))]
    BadBody {
        /// Error of the JSON parser or of the checks after it.
        reason: String,
    },
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    BodyTooLarge {
        /// Maximum size, in bytes.
        limit: u64,
    },
    /// The body was incomplete when its timeout expired.
    #[snafu(display("the body did not arrive in time"))]
    BodyTooSlow,
    /// Requests and responses take too much memory, or connections too many descriptors.
    #[snafu(display("the router has no memory or descriptors for the request"))]
    NoMemory,
    /// The connection failed before the body was complete.
    #[snafu(display("the body broke off: {reason}"))]
    BodyBroken {
        /// Error of the transport.
        reason: String,
    },
    /// A header has an invalid value.
    #[snafu(display("header {name}: {expected}"))]
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// What was expected instead.
        expected: &'static str,
    },
    /// The bearer token is missing or empty, or the header has another scheme.
    #[snafu(display("header authorization: expected `Bearer <token>`"))]
    NoToken,
    /// The header `Last-Event-ID` holds no valid event id of this system.
    #[snafu(display("header last-event-id: {source}"))]
    EventId {
        /// Why the id is invalid.
        source: BadEventId,
    },
    /// The path names no service, or has segments that a service could normalize to a different
    /// path.
    #[snafu(display("the path has empty, `.`, `..` or encoded separators"))]
    BadPath,
    /// No such path.
    #[snafu(display("no such path: {path}"))]
    NotFound {
        /// Path of the request.
        path: String,
    },
    /// The path doesn't support the request's method.
    #[snafu(display("{path} takes {expected} only"))]
    MethodNotAllowed {
        /// Path of the request.
        path: String,
        /// Method that the path supports.
        expected: &'static str,
    },
}

impl Rejection {
    /// Returns the reason as one word, for responses and metric labels.
    pub fn reason(&self) -> &'static str {
        match self {
            Rejection::BadBody { .. } => "bad_body",
            Rejection::BodyTooLarge { .. } => "body_too_large",
            Rejection::BodyTooSlow => "body_too_slow",
            Rejection::NoMemory => "no_memory",
            Rejection::BodyBroken { .. } => "body_broken",
            Rejection::BadHeader { .. } => "bad_header",
            Rejection::NoToken => "bad_token",
            Rejection::EventId { .. } => "bad_event_id",
            Rejection::BadPath => "bad_path",
            Rejection::NotFound { .. } => "not_found",
            Rejection::MethodNotAllowed { .. } => "method_not_allowed",
        }
    }

    /// Returns the title for the problem details.
    pub fn title(&self) -> &'static str {
        match self {
            Rejection::BadBody { .. } => "The body does not parse",
            Rejection::BodyTooLarge { .. } => "The body is too large",
            Rejection::BodyTooSlow => "The body did not arrive in time",
            Rejection::NoMemory => "No memory for the request",
            Rejection::BodyBroken { .. } => "The body broke off",
            Rejection::BadHeader { .. } => "A header does not parse",
            Rejection::NoToken => "The bearer token is missing",
            Rejection::EventId { .. } => "The event id is not valid",
            Rejection::BadPath => "The path is ambiguous",
            Rejection::NotFound { .. } => "No such path",
            Rejection::MethodNotAllowed { .. } => "Method not allowed",
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::BadBody { .. } => StatusCode::BAD_REQUEST,
            Rejection::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Rejection::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::BodyBroken { .. } => StatusCode::BAD_REQUEST,
            Rejection::BadHeader { .. } => StatusCode::BAD_REQUEST,
            Rejection::NoToken => StatusCode::UNAUTHORIZED,
            Rejection::EventId { .. } => StatusCode::BAD_REQUEST,
            Rejection::BadPath => StatusCode::BAD_REQUEST,
            Rejection::NotFound { .. } => StatusCode::NOT_FOUND,
            Rejection::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    /// Returns the time in seconds after which the caller may retry, none if a retry is useless.
    pub fn retry_after(&self) -> Option<u64> {
        match self {
            Rejection::NoMemory => Some(NO_MEMORY_RETRY_S),
            _ => None,
        }
    }

    /// Returns whether reading the body was given up before its end, in which case the connection
    /// can't be reused and must be closed.
    pub fn leaves_body_unread(&self) -> bool {
        matches!(
            self,
            Rejection::BodyTooLarge { .. }
                | Rejection::BodyTooSlow
                | Rejection::BodyBroken { .. }
                | Rejection::NoMemory
        )
    }
}
