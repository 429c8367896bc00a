//! Requests that are rejected before the node sees them.

use http::StatusCode;
use snafu::Snafu;

use crate::BadEventId;

/// A request that is rejected before the node sees it; nothing was sent.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Rejection {
    /// The body is not what the path asks for.
    #[snafu(display("the body is not a request for this path: {reason}"))]
    BadBody {
        /// What was wrong.
        reason: String,
    },
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    BodyTooLarge {
        /// Limit, in bytes.
        limit: u64,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    BodyTooSlow,
    /// The body broke off.
    #[snafu(display("the body broke off: {reason}"))]
    BodyBroken {
        /// What the transport said.
        reason: String,
    },
    /// A header does not parse.
    #[snafu(display("header {name}: {expected}"))]
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// What was expected.
        expected: &'static str,
    },
    /// The bearer token is missing.
    #[snafu(display("header authorization: expected `Bearer <token>`"))]
    NoToken,
    /// The header `Last-Event-ID` holds no id of this system.
    #[snafu(display("header last-event-id: {source}"))]
    EventId {
        /// What was wrong.
        source: BadEventId,
    },
    /// The path has segments that a service could read in another way.
    #[snafu(display("the path has empty, `.`, `..` or encoded separators"))]
    BadPath,
    /// No such path.
    #[snafu(display("no such path: {path}"))]
    NotFound {
        /// Path.
        path: String,
    },
    /// The path doesn't take this method.
    #[snafu(display("{path} takes {expected} only"))]
    MethodNotAllowed {
        /// Path.
        path: String,
        /// Method that it takes.
        expected: &'static str,
    },
}

impl Rejection {
    /// Returns the word for it in answers and counters.
    pub fn reason(&self) -> &'static str {
        match self {
            Rejection::BadBody { .. } => "bad_body",
            Rejection::BodyTooLarge { .. } => "body_too_large",
            Rejection::BodyTooSlow => "body_too_slow",
            Rejection::BodyBroken { .. } => "body_broken",
            Rejection::BadHeader { .. } => "bad_header",
            Rejection::NoToken => "bad_token",
            Rejection::EventId { .. } => "bad_event_id",
            Rejection::BadPath => "bad_path",
            Rejection::NotFound { .. } => "not_found",
            Rejection::MethodNotAllowed { .. } => "method_not_allowed",
        }
    }

    /// Returns the reason in words.
    pub fn title(&self) -> &'static str {
        match self {
            Rejection::BadBody { .. } => "The body does not parse",
            Rejection::BodyTooLarge { .. } => "The body is too large",
            Rejection::BodyTooSlow => "The body did not arrive in time",
            Rejection::BodyBroken { .. } => "The body broke off",
            Rejection::BadHeader { .. } => "A header does not parse",
            Rejection::NoToken => "The bearer token is missing",
            Rejection::EventId { .. } => "The event id is not valid",
            Rejection::BadPath => "The path is ambiguous",
            Rejection::NotFound { .. } => "No such path",
            Rejection::MethodNotAllowed { .. } => "Method not allowed",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::BadBody { .. } => StatusCode::BAD_REQUEST,
            Rejection::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Rejection::BodyBroken { .. } => StatusCode::BAD_REQUEST,
            Rejection::BadHeader { .. } => StatusCode::BAD_REQUEST,
            Rejection::NoToken => StatusCode::UNAUTHORIZED,
            Rejection::EventId { .. } => StatusCode::BAD_REQUEST,
            Rejection::BadPath => StatusCode::BAD_REQUEST,
            Rejection::NotFound { .. } => StatusCode::NOT_FOUND,
            Rejection::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    /// Tells whether the rest of the request was left unread, so that the connection must close.
    pub fn leaves_body_unread(&self) -> bool {
        matches!(
            self,
            Rejection::BodyTooLarge { .. } | Rejection::BodyTooSlow | Rejection::BodyBroken { .. }
        )
    }
}
