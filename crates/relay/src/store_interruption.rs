//! Interruptions of this router's calls to the store.
//!
//! While the store is away, registrations of live backend servers may lapse, and it restores them
//! soon after. An interruption that is too short for that removes none: what is gone has left.

use policy::Time;

/// Heartbeats without which a registration may lapse: the platform waits for three, and the outage
/// may begin just before one is due.
pub(crate) const LAPSE_HEARTBEATS: u64 = 2;

/// The last interruption of calls to the store, from the last response before it to the first after
/// it.
#[derive(Clone, Copy, Debug)]
pub struct StoreInterruption {
    heartbeat_ms: u64,
    began_at: Time,
    ended_at: Time,
}

impl StoreInterruption {
    /// Returns that of a router that has just started, which had no response before `now`. Backend
    /// servers renew their registrations each `heartbeat_ms`.
    pub fn new(now: Time, heartbeat_ms: u64) -> StoreInterruption {
        StoreInterruption {
            heartbeat_ms,
            began_at: now,
            ended_at: now,
        }
    }

    /// Records that a call failed after the store had last responded at `responded_at`. Servers that
    /// had no time for a heartbeat since the interruption before see both as one.
    pub fn begin(&mut self, responded_at: Time) {
        let had_heartbeat = responded_at >= self.ended_at.plus_millis(self.heartbeat_ms);
        if had_heartbeat {
            self.began_at = responded_at;
        }
    }

    /// Records that the store responds again.
    pub fn end(&mut self, now: Time) {
        self.ended_at = now;
    }

    /// Returns whether it has lasted long enough by `now` that registrations of live servers may have
    /// lapsed.
    pub fn may_lapse(&self, now: Time) -> bool {
        now.millis_since(self.began_at) >= self.heartbeat_ms * LAPSE_HEARTBEATS
    }
}
