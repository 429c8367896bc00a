//! When a message arrived.

use crate::Time;

/// When a message or a response arrived, as far as the process that reads it can tell: while a
/// process is paused, what arrives for it waits. Ages in a message count from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    earliest: Time,
    latest: Time,
}

impl Arrival {
    /// Returns the arrival of what is read at once.
    pub const fn at(now: Time) -> Arrival {
        Arrival {
            earliest: now,
            latest: now,
        }
    }

    /// Returns the arrival of what is read at `now`, and arrived after `earliest`.
    pub fn between(earliest: Time, now: Time) -> Arrival {
        Arrival {
            earliest: earliest.min(now),
            latest: now,
        }
    }

    /// Returns the arrival of the response to a call that was sent at `called_at`.
    #[must_use]
    pub fn of_response(self, called_at: Time) -> Arrival {
        Arrival::between(self.earliest.max(called_at), self.latest)
    }

    /// Returns whether it may have waited before it was read.
    pub fn may_have_waited(self) -> bool {
        self.earliest < self.latest
    }

    /// Returns the time before which it can't have arrived.
    pub const fn earliest(self) -> Time {
        self.earliest
    }

    /// Returns the time after which it can't have arrived.
    pub const fn latest(self) -> Time {
        self.latest
    }

    /// Returns the earliest time of something to which the sender gives an age.
    pub const fn earliest_of(self, age_ms: u64) -> Time {
        before(self.earliest, age_ms)
    }

    /// Returns the latest time of something to which the sender gives an age.
    pub const fn latest_of(self, age_ms: u64) -> Time {
        before(self.latest, age_ms)
    }
}

const fn before(at: Time, ms: u64) -> Time {
    Time(at.0.saturating_sub(ms.saturating_mul(1_000)))
}
