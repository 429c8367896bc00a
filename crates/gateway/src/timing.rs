//! Deadlines as waits.

use std::time::Duration;

use policy::Time;

use crate::clock::now;

/// Returns the wait until a point in time.
pub fn until(at: Time) -> Duration {
    Duration::from_micros(at.micros_since(now()))
}
