//! Up to where and when a router has read the registrations of backend servers.

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::age::age_ms;
use crate::age::time_of;
use crate::Revision;

/// Time for which a missing registration is kept after an outage of the store, in
/// milliseconds. The platform restores those of live servers within two seconds.
const RESTORE_PERIOD_MS: u64 = 2_100;

/// Age in milliseconds up to which registrations read by another router are used.
/// A router that starts reading the store itself at this age still stops sending
/// to a draining server in time.
const MAX_AGE_MS: u64 = 1_700;

/// Up to where, when, and how soon after an outage registrations were read from the store.
/// It goes with the registrations from router to router, and is replaced only with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Revision of the store up to which they were read.
    pub as_of: Revision,
    /// When they were read.
    pub read_at: Time,
    /// End of the last outage of the store, as the router that read them knows.
    pub outage_until: Time,
}

impl Reading {
    /// Returns whether the registrations were read recently enough to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.millis_since(self.read_at) < MAX_AGE_MS
    }

    /// Returns the time until which registrations that went missing in the outage are kept.
    pub fn restored_by(&self) -> Time {
        restored_by(self.outage_until)
    }
}

/// Returns the time by which the platform has restored the registrations that were lost in an
/// outage of the store until `outage_until`.
pub fn restored_by(outage_until: Time) -> Time {
    outage_until.plus_millis(RESTORE_PERIOD_MS)
}

/// A reading in a message; times are ages, as clocks of routers differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingUpdate {
    /// Revision of the store up to which the registrations were read.
    pub as_of: Revision,
    /// Time since they were read, in milliseconds.
    pub age_ms: u32,
    /// Time since the end of the last outage, in milliseconds.
    pub outage_age_ms: u32,
}

impl ReadingUpdate {
    /// Returns the message's form of a reading.
    pub fn new(now: Time, reading: Reading) -> ReadingUpdate {
        ReadingUpdate {
            as_of: reading.as_of,
            age_ms: age_ms(now, reading.read_at),
            outage_age_ms: age_ms(now, reading.outage_until),
        }
    }

    /// Returns the reading that a message received at `now` describes.
    pub fn reading(&self, now: Time) -> Reading {
        Reading {
            as_of: self.as_of,
            read_at: time_of(now, self.age_ms),
            outage_until: time_of(now, self.outage_age_ms),
        }
    }
}
