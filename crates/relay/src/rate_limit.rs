//! Rate at which a backend server takes requests from all routers together.

use serde::Deserialize;
use serde::Serialize;

/// Lowest limit that is kept to, in requests a second. Without a request now and then no response
/// would say that the limit has ended.
const MIN_PER_SECOND: f64 = 0.1;

/// Highest limit, in requests a second; higher ones limit nothing.
const MAX_PER_SECOND: f64 = 1_000_000.0;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A limit on the requests of all routers together, as the time from one request to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    interval_us: u32,
}

impl RateLimit {
    /// Returns a limit in requests a second, raised or cut to the range that is kept to; none for
    /// a value that is no rate.
    pub fn per_second(rate: f64) -> Option<RateLimit> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let rate = rate.clamp(MIN_PER_SECOND, MAX_PER_SECOND);
        Some(RateLimit {
            interval_us: (MICROS_PER_SECOND / rate) as u32,
        })
    }

    /// Returns whether a limit in requests a second is kept to as it stands.
    pub fn is_in_range(rate: f64) -> bool {
        (MIN_PER_SECOND..=MAX_PER_SECOND).contains(&rate)
    }

    /// Returns whether it is so high that it limits nothing.
    pub fn is_unlimited(self) -> bool {
        self.to_per_second() >= MAX_PER_SECOND
    }

    /// Returns the limit in requests a second.
    pub fn to_per_second(self) -> f64 {
        MICROS_PER_SECOND / f64::from(self.interval_us.max(1))
    }

    /// Returns the time from one request to the next at this rate, in microseconds.
    pub fn interval_us(self) -> u64 {
        u64::from(self.interval_us)
    }
}
