//! Limits that apply to the whole system, with their defaults.

use serde::Deserialize;
use serde::Serialize;

/// Limits that apply to the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Engines that may load weights at the same time.
    pub loads_at_once: u32,
    /// Retry budget of a workspace: retries allowed per 100 first attempts.
    pub retries_per_100_requests: u32,
    /// Engines that one request may crash, over the whole fleet, before it is refused.
    pub crashes_per_request: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest response to a non-idempotent call that is stored for replay, in bytes.
    pub stored_answer_bytes: u64,
    /// How long records of non-idempotent calls are kept, in hours.
    pub record_hours: u64,
    /// Number of backend servers in a cell.
    pub cell_size: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            loads_at_once: 3,
            retries_per_100_requests: 10,
            crashes_per_request: 2,
            body_bytes: 4 << 20,
            stored_answer_bytes: 256 << 10,
            record_hours: 48,
            cell_size: 16,
        }
    }
}
