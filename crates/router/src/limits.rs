//! Limits of one router on memory, connections, bodies and times.

use std::time::Duration;

use gateway::process_descriptors;
use gateway::share_of_memory;
use gateway::UsageLimits;
use policy::Time;

use crate::clock;

/// Parts of the memory for what is held of requests and responses, and for connections, in percent. The
/// kernel may hold as much again of what connections have received.
const BUFFER_PERCENT: f64 = 40.0;
const CONNECTION_PERCENT: f64 = 20.0;

/// Part of the descriptors for callers and the connections to backend servers that their requests
/// need, in percent. The rest is for the platform, other routers and idle connections.
const CALLERS_PERCENT: u64 = 65;

/// Part of the memory that the body of one request may take, in percent.
const BODY_PERCENT: f64 = 25.0;

/// How often a body is in memory at most: as it was read, parsed, and as it is sent.
pub const BODY_COPIES: u64 = 3;

/// Time for which a connection is idle before it may be evicted for a new one, in milliseconds.
const MIN_IDLE_MS: u64 = 200;

/// Limits of one router on memory, connections, bodies and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the VM, in bytes; `u64::MAX` for no limit.
    pub memory_bytes: u64,
    /// Maximum number of open descriptors.
    pub descriptors: u64,
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
            memory_bytes: u64::MAX,
            descriptors: process_descriptors(),
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
    /// Returns the limits on what all connections of callers hold.
    pub fn usage(&self) -> UsageLimits {
        UsageLimits {
            buffer_bytes: share_of_memory(self.memory_bytes, BUFFER_PERCENT),
            connection_bytes: share_of_memory(self.memory_bytes, CONNECTION_PERCENT),
            connections: u64::try_from(self.connections).unwrap_or(u64::MAX),
            descriptors: self.descriptors.saturating_mul(CALLERS_PERCENT) / 100,
            min_idle_ms: MIN_IDLE_MS,
        }
    }

    /// Returns the maximum size of a request body that the memory allows, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        let by_memory = share_of_memory(self.memory_bytes, BODY_PERCENT) / BODY_COPIES;
        self.body_bytes.min(by_memory)
    }

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
