//! Limits of one router on connections, bodies and times.

use std::time::Duration;

use policy::Time;

use crate::clock;

/// Limits of one router on connections, bodies and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum size of a request body, in bytes, even if the configuration allows more.
    pub body_bytes: u64,
    /// Timeout for receiving a request's head, which also closes idle connections, in milliseconds.
    pub header_ms: u64,
    /// Timeout for receiving a request's body, in milliseconds.
    pub body_ms: u64,
    /// Timeout of a write that makes no progress, in milliseconds.
    pub write_ms: u64,
    /// Time between the announcement of a shutdown and the first refusal of a new call, in
    /// milliseconds.
    pub shutdown_notice_ms: u64,
    /// Time from the start of a shutdown to its deadline, by which calls in flight must have ended,
    /// in milliseconds.
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
    /// Returns the timeout for receiving a request's head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns the timeout for receiving a request's body.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Returns the timeout of a write that makes no progress.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_ms)
    }

    /// Returns the time between the announcement of a shutdown and the first refusal of a new
    /// call.
    pub fn shutdown_notice(&self) -> Duration {
        Duration::from_millis(self.shutdown_notice_ms)
    }

    /// Returns the deadline of a shutdown that begins now.
    pub fn shutdown_deadline(&self) -> Time {
        clock::now().plus_millis(self.shutdown_ms)
    }
}
