//! Times in messages between routers: ages in milliseconds, as clocks of routers differ.

use crate::Time;

/// Returns the age of `at`, in milliseconds.
pub fn age_ms(now: Time, at: Time) -> u32 {
    u32::try_from(now.millis_since(at)).unwrap_or(u32::MAX)
}

/// Returns the time that had an age of `age_ms` milliseconds at `now`.
pub fn time_of(now: Time, age_ms: u32) -> Time {
    Time(now.0.saturating_sub(u64::from(age_ms) * 1_000))
}
