//! Limits of one router.

use std::time::Duration;

use policy::Time;

use crate::clock;

/// Limits of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Largest body of a request, in bytes, whatever the configuration allows.
    pub body_bytes: u64,
    /// Time for a request's head, and for which an idle connection is kept, in milliseconds.
    pub header_ms: u64,
    /// Time for a request's body, in milliseconds.
    pub body_ms: u64,
    /// Time for a write to make progress, in milliseconds.
    pub write_ms: u64,
    /// Time between the announcement of a shutdown and the first refusal for it, in milliseconds.
    pub shutdown_notice_ms: u64,
    /// Time for calls in flight to end in a shutdown, in milliseconds.
    pub shutdown_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 10_000,
            body_bytes: 16 << 20,
            header_ms: 30_000,
            body_ms: 30_000,
            write_ms: 30_000,
            shutdown_notice_ms: 2_000,
            shutdown_ms: 60_000,
        }
    }
}

impl Limits {
    /// Returns the time for a request's head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns the time for a request's body.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Returns the time for a write to make progress.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_ms)
    }

    /// Returns the time between the announcement of a shutdown and the first refusal for it.
    pub fn shutdown_notice(&self) -> Duration {
        Duration::from_millis(self.shutdown_notice_ms)
    }

    /// Returns the point in time by which a shutdown that begins now must have ended.
    pub fn shutdown_deadline(&self) -> Time {
        clock::now().plus_millis(self.shutdown_ms)
    }
}
