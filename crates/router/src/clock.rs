//! The VM's clock, and the conversion of its times to the runtime's timer instants.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use policy::Time;
use tokio::time::Instant;

/// Returns the current time of the VM's clock.
pub fn now() -> Time {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the timer instant that corresponds to `at`, at most `MAX_TIMER_WAIT` from now.
pub fn instant(at: Time) -> Instant {
    let wait = Duration::from_micros(at.micros_since(now()));
    Instant::now() + wait.min(MAX_TIMER_WAIT)
}

/// Longest wait for which a timer is set. A caller that waits for a later time must check the
/// clock when the timer fires, and set it again.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(3_600);
