//! Statuses of final responses.

use http::StatusCode;

/// Returns whether a response with this status ends its request (RFC 9110, section 15).
///
/// The http library handles interim responses, but passes on switches of protocols and undefined statuses. A
/// server that sends one of these for a request is faulty and may have run the request, so nothing else in the
/// response is used.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
