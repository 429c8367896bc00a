//! The clock of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use policy::Time;
use tokio::time::Instant;

/// Returns the time of the VM's clock.
pub fn now() -> Time {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the timer's instant for a point in time.
pub fn instant(at: Time) -> Instant {
    let wait = Duration::from_micros(at.micros_since(now()));
    Instant::now() + wait.min(MAX_TIMER_WAIT)
}

/// Longest wait that a timer is set to; later points are looked at again.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(3_600);
