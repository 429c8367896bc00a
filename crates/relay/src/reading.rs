//! Up to where and when a router has read the registrations of backend servers.

use policy::age_ms;
use policy::Arrival;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

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
    /// End of the last outage of the store that the router that read them knows of.
    pub outage_until: Time,
    /// Time since which that router would know of an outage.
    pub outages_known_since: Time,
}

impl Reading {
    /// Returns whether the registrations were read recently enough to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.millis_since(self.read_at) < MAX_AGE_MS
    }

    /// Returns the time up to which an outage may have lasted that removed registrations.
    pub fn outage_possible_until(&self) -> Time {
        self.outage_until.max(self.outages_known_since)
    }

    /// Returns the time until which registrations that went missing in an outage are kept.
    pub fn restored_by(&self) -> Time {
        restored_by(self.outage_possible_until())
    }

    /// Returns what is known from this reading and an earlier one, which was made no more than
    /// `lapse_ms` before this one's reader knows of outages: a shorter outage removes no
    /// registration of a live server.
    pub fn joined_to(self, earlier: Reading, lapse_ms: u64) -> Reading {
        let reaches = earlier.read_at.plus_millis(lapse_ms) >= self.outages_known_since;
        if earlier.as_of.era != self.as_of.era || !reaches {
            return self;
        }
        Reading {
            outage_until: self.outage_until.max(earlier.outage_until),
            outages_known_since: self.outages_known_since.min(earlier.outages_known_since),
            ..self
        }
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
    /// Time for which the router that read them would know of an outage, in milliseconds.
    pub outages_known_ms: u32,
}

impl ReadingUpdate {
    /// Returns the message's form of a reading.
    pub fn new(now: Time, reading: Reading) -> ReadingUpdate {
        ReadingUpdate {
            as_of: reading.as_of,
            age_ms: age_ms(now, reading.read_at),
            outage_age_ms: age_ms(now, reading.outage_until),
            outages_known_ms: age_ms(now, reading.outages_known_since),
        }
    }

    /// Returns the reading that a message describes. If the message may have waited, the reading counts
    /// as old, and registrations that went missing in an outage are kept rather too long.
    pub fn reading(&self, message: Arrival) -> Reading {
        Reading {
            as_of: self.as_of,
            read_at: message.earliest_of(u64::from(self.age_ms)),
            outage_until: message.latest_of(u64::from(self.outage_age_ms)),
            outages_known_since: message.latest_of(u64::from(self.outages_known_ms)),
        }
    }
}
