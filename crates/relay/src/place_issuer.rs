//! Grants places in backend servers that must not reject many requests.
//!
//! Such a server fails if all routers together send more than it has room for. So one router, the
//! issuer, grants each request a place and gets it back when the request has ended. How many places
//! there are is learned: fewer after a rejection, slowly more while all are taken.

use std::collections::BTreeMap;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Brittleness;
use crate::Permit;

/// Time for which what other routers report counts beside the places granted, in milliseconds. An
/// issuer that has just become one doesn't know what its predecessor has granted.
const SETTLING_MS: u64 = 2_500;

/// Time without a rejection after which one more place is tried, in milliseconds.
const GROWTH_MS: u64 = 1_500;

/// The same for the slots that the server has registered, which it should have room for.
const SLOT_GROWTH_MS: u64 = 100;

/// Places that are left after a rejection, in percent.
const LEFT_AFTER_REJECTION_PERCENT: u32 = 80;

/// Time after a rejection in which another one changes nothing, in milliseconds: it was sent before.
const REJECTIONS_JOINED_MS: u64 = 100;

/// Minimum and maximum of the time after which a router asks again, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (15, 150);

/// Time by which a router that doesn't say that a request has ended is late, in milliseconds.
const RELEASE_SLACK_MS: u64 = 500;

/// Time after the last request for a place for which a server is remembered, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// A place granted to a router, by the hash of its name and its number for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlaceId {
    /// Hash of the router's name.
    pub router: u64,
    /// Number of the request among those of the router.
    pub request: u64,
}

/// How a request ended that had a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceEnd {
    /// The server had room for it.
    Taken,
    /// The server rejected it for want of room.
    Rejected,
}

/// What decides whether there is a place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest {
    /// The place that is asked for.
    pub id: PlaceId,
    /// Requests that the server runs at a time, by its registration.
    pub slots: u32,
    /// Rejections that it stands.
    pub brittleness: Brittleness,
    /// Requests in flight there, by the reports of all routers.
    pub reported: u32,
    /// Latest time by which the request has ended.
    pub until: Time,
}

/// Places in one backend server.
#[derive(Clone, Debug)]
struct Places {
    /// Places granted, and the latest times by which they are free again.
    granted: BTreeMap<PlaceId, Time>,
    /// Number of places.
    count: u32,
    /// Reports count until then.
    settled_at: Time,
    /// When a place may be added.
    grows_at: Time,
    /// Until when a rejection belongs to one that is known.
    joined_until: Time,
    /// Denied since a place was last free.
    denied: u64,
    asked_at: Time,
}

/// Places in the backend servers for which this router is the issuer, by instance hash.
#[derive(Clone, Debug, Default)]
pub struct PlaceIssuer {
    servers: BTreeMap<u64, Places>,
}

impl PlaceIssuer {
    /// Decides whether there is a place for a request in a backend server.
    pub fn ask(&mut self, now: Time, server: u64, request: PlaceRequest) -> Permit {
        self.servers
            .retain(|_, places| now.millis_since(places.asked_at) < KEPT_MS);
        let places = self
            .servers
            .entry(server)
            .or_insert_with(|| Places::new(now, request.slots));
        places.ask(now, request)
    }

    /// Takes a place back.
    pub fn release(&mut self, now: Time, server: u64, id: PlaceId, end: PlaceEnd) {
        if let Some(places) = self.servers.get_mut(&server) {
            places.release(now, id, end);
        }
    }
}

impl Places {
    fn new(now: Time, slots: u32) -> Places {
        Places {
            granted: BTreeMap::new(),
            count: slots.max(1),
            settled_at: now.plus_millis(SETTLING_MS),
            grows_at: now.plus_millis(SETTLING_MS),
            joined_until: Time(0),
            denied: 0,
            asked_at: now,
        }
    }

    fn ask(&mut self, now: Time, request: PlaceRequest) -> Permit {
        self.asked_at = now;
        self.granted.retain(|_, until| *until > now);
        let granted = u32::try_from(self.granted.len()).unwrap_or(u32::MAX);
        let taken = if now < self.settled_at {
            granted.max(request.reported)
        } else {
            granted
        };
        if taken >= self.count {
            self.grow(now, request);
        }
        if taken < self.count {
            let until = request.until.plus_millis(RELEASE_SLACK_MS);
            self.granted.insert(request.id, until);
            return Permit::Granted;
        }
        self.denied += 1;
        let turns = self.denied / u64::from(self.count);
        let retry_after_ms = RETRY_RANGE_MS.0 * (1 + turns);
        Permit::Denied {
            retry_after_ms: retry_after_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1),
        }
    }

    /// Adds a place if all are taken and none was refused by the server for a while. A server that
    /// stands no rejection gets no more than its slots.
    fn grow(&mut self, now: Time, request: PlaceRequest) {
        let slots = request.slots.max(1);
        let spare = request.brittleness.rejections_per_s.min(slots).div_ceil(2);
        if now < self.grows_at || self.count >= slots + spare {
            return;
        }
        self.count += 1;
        let pause_ms = if self.count < slots {
            SLOT_GROWTH_MS
        } else {
            GROWTH_MS
        };
        self.grows_at = now.plus_millis(pause_ms);
    }

    fn release(&mut self, now: Time, id: PlaceId, end: PlaceEnd) {
        let was_granted = self.granted.remove(&id).is_some();
        self.denied = 0;
        if end == PlaceEnd::Rejected && was_granted && now >= self.joined_until {
            let taken = u32::try_from(self.granted.len()).unwrap_or(u32::MAX);
            let left = self.count.min(taken) * LEFT_AFTER_REJECTION_PERCENT;
            self.count = left.div_ceil(100).max(1);
            self.joined_until = now.plus_millis(REJECTIONS_JOINED_MS);
            self.grows_at = now.plus_millis(GROWTH_MS);
        }
    }
}
