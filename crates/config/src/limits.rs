//! Limits that hold for the whole system.

use serde::Deserialize;
use serde::Serialize;

/// Limits that hold for the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Runners that may load weights at once.
    pub loads_at_once: u32,
    /// Retries for each 100 first attempts of a workspace.
    pub retries_per_100_requests: u32,
    /// Runners that one request may crash over the whole fleet.
    pub crashes_per_request: u32,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Largest stored answer of a non-idempotent call, in bytes.
    pub stored_answer_bytes: u64,
    /// Time for which records of non-idempotent calls are kept, in hours.
    pub record_hours: u64,
    /// Backend servers in one cell.
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
