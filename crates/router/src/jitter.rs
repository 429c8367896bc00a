//! Random waits, so that routers don't send their periodic requests at the same time.

use std::time::Duration;

/// Returns a random wait between 0.5 and 1.5 times `ms` milliseconds.
pub fn around(ms: u64) -> Duration {
    let spread = ms.max(1);
    Duration::from_millis(ms / 2 + rand::random_range(0..=spread))
}
