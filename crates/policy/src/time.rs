//! Timestamps.

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest point in time.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the point `ms` milliseconds after the epoch.
    pub const fn from_millis(ms: u64) -> Time {
        Time(ms.saturating_mul(1_000))
    }

    /// Returns the whole milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the point `ms` milliseconds later.
    pub const fn plus_millis(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Returns the point `us` microseconds later.
    pub const fn plus_micros(self, us: u64) -> Time {
        Time(self.0.saturating_add(us))
    }

    /// Returns the microseconds since `earlier`, 0 if that is later.
    pub const fn micros_since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds since `earlier`, 0 if that is later.
    pub const fn millis_since(self, earlier: Time) -> u64 {
        self.micros_since(earlier) / 1_000
    }
}
