//! The declaration of a priority class.

use serde::Deserialize;
use serde::Serialize;

/// A priority class, which callers select by a request header.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Requests of a higher rank are served first and refused last.
    pub rank: u8,
    /// Deadline of requests that don't set one, in milliseconds after their arrival.
    pub default_deadline_ms: u64,
}
