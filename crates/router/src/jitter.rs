//! Waits that differ between routers, so that they don't call in step.

use std::time::Duration;

/// Returns a wait between half of `ms` milliseconds and one and a half times that.
pub fn around(ms: u64) -> Duration {
    let spread = ms.max(1);
    Duration::from_millis(ms / 2 + rand::random_range(0..=spread))
}
