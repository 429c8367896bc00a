//! Priority classes.

use serde::Deserialize;
use serde::Serialize;

/// A priority class that callers name in a header.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Rank; a higher rank is served first and refused last.
    pub rank: u8,
    /// Deadline of a request that names none, in milliseconds after its arrival.
    pub default_deadline_ms: u64,
}
