//! Conversion of deadlines to durations.

use std::time::Duration;

use policy::Time;

use crate::clock::now;

/// Returns the time left until `at`, zero if it has passed.
pub fn duration_until(at: Time) -> Duration {
    Duration::from_micros(at.micros_since(now()))
}
