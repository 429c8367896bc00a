//! Stages of a connection.

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun on it, or the latest one has ended.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// A part of a request's body has arrived.
    Body,
    /// The request is with a backend server, or waits for one.
    Running,
    /// The response is sent, and its backend server or the caller is awaited.
    Response,
    /// The http library has all of the response, and the caller hasn't taken it.
    Flushing,
}
