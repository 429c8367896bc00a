//! Quotas: how much the requests of a workspace may use over all routers together.

use serde::Deserialize;
use serde::Serialize;

/// Highest rate, burst and number of units of a request; sums of some thousand of them overflow
/// nothing.
pub const MAX_QUOTA_UNITS: u64 = 1 << 53;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens plus the most tokens that it may generate.
    Tokens {
        /// What a request counts that doesn't state its tokens.
        plain: u64,
    },
}

/// What the requests of a workspace may use over all routers together: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Units added to the bucket per second; more than 0, at most [`MAX_QUOTA_UNITS`].
    pub rate_per_s: u64,
    /// Units that the bucket holds at most, at most [`MAX_QUOTA_UNITS`].
    pub burst: u64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Returns what one request counts; `usage` is the tokens that it states, if it does.
    pub fn units(&self, usage: Option<u64>) -> u64 {
        let units = match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => usage.unwrap_or(plain),
        };
        units.min(MAX_QUOTA_UNITS)
    }
}
