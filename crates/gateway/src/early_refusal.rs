//! Refusal of a request that hasn't been read in full, written past the http library.

use tokio::net::TcpStream;

use crate::close_reason::CloseReason;

/// Time after which a refused caller should come again, in seconds.
const RETRY_AFTER_S: &str = "0.500";

/// Refuses what a caller sends on a connection that is about to be closed. Nothing of it was passed
/// on, and both statuses say so.
pub fn refuse_early(socket: &TcpStream, reason: CloseReason) {
    let status = match reason {
        CloseReason::NoProgress => "408 Request Timeout",
        CloseReason::NoMemory | CloseReason::TooManyConnections => "503 Service Unavailable",
    };
    let body = format!("{{\"reason\":\"{reason}\"}}\n");
    let response = format!(
        "HTTP/1.1 {status}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Retry-After: {RETRY_AFTER_S}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // If the socket is full, the end of the connection is all that the caller gets.
    let _ = socket.try_write(response.as_bytes());
}
