//! Log event for connections that this router has closed.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use crate::close_reason::CloseReason;

/// Connections of one port that were closed for one reason since the last such event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionsClosed<'a> {
    /// Name of the port.
    pub port: &'a str,
    /// Why they were closed.
    pub reason: CloseReason,
    /// How many were closed.
    pub count: u64,
    /// How many are open now.
    pub open: usize,
    /// Bytes of requests and responses that are held now.
    pub buffered_bytes: u64,
}

impl Display for ConnectionsClosed<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=connections_closed port={} reason={} count={} open={} buffered_bytes={}",
            self.port, self.reason, self.count, self.open, self.buffered_bytes,
        )
    }
}
