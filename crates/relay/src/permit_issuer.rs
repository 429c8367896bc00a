//! Issues permits for requests to backend servers that limit them.
//!
//! A limit holds for all routers together, so that one of them, the issuer, hands out the right to
//! send each request. Any other router asks it, see `Topology::permit_issuer`. An issuer that has
//! just become one begins without credit, as it doesn't know what its predecessor has issued, and
//! one that doesn't know the other routers issues none.

use std::collections::BTreeMap;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::RateLimit;

/// Time after a router has read which other routers there are from which it issues permits, in
/// milliseconds. Until then it may not have had their messages.
const SETTLED_MS: u64 = 1_500;

/// Time without permits with which the schedule of a server begins, in milliseconds.
const START_DEBT_MS: u64 = 1_000;

/// Time in which unused permits add up, in milliseconds; at least one is kept.
const BURST_MS: u64 = 500;

/// Requests that urgent ones may be ahead of the schedule.
const URGENT_AHEAD: u64 = 2;

/// Minimum and maximum of the time after which a router asks again, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (20, 1_000);

/// Time after the last request for a permit for which a schedule is kept, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// How much a request matters that needs a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// Other backend servers may do as well, or its caller may come back.
    Normal,
    /// Only this backend server will do: a stream to be resumed, or an order.
    Urgent,
}

/// Right to send one request to a backend server, or its refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request may not be sent.
    Denied {
        /// Time after which to ask again, in milliseconds; different for each router that asks.
        retry_after_ms: u64,
    },
}

/// Times at which permits for one backend server are due.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// When the next permit is due if none has been saved up.
    next_at: Time,
    /// Denied since the last permit.
    denied: u64,
    asked_at: Time,
}

/// Schedules of the backend servers for which this router issues permits, by instance hash.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    /// When it may issue the first permit; none while the other routers are unknown.
    issues_from: Option<Time>,
    schedules: BTreeMap<u64, Schedule>,
}

impl PermitIssuer {
    /// Records that the other routers are known, at `now` if not before.
    pub fn begin(&mut self, now: Time) {
        self.issues_from.get_or_insert(now.plus_millis(SETTLED_MS));
    }

    /// Returns whether it may issue permits: not before it has known the other routers for a while.
    pub fn may_issue(&self, now: Time) -> bool {
        self.issues_from.is_some_and(|from| from <= now)
    }

    /// Decides whether a request may be sent to a backend server with a limit.
    pub fn ask(&mut self, now: Time, server: u64, limit: RateLimit, urgency: Urgency) -> Permit {
        self.schedules
            .retain(|_, schedule| now.millis_since(schedule.asked_at) < KEPT_MS);
        if !self.may_issue(now) {
            return Permit::Denied {
                retry_after_ms: RETRY_RANGE_MS.1,
            };
        }
        let schedule = self.schedules.entry(server).or_insert(Schedule {
            next_at: now.plus_millis(START_DEBT_MS),
            denied: 0,
            asked_at: now,
        });
        schedule.ask(now, limit, urgency)
    }
}

impl Schedule {
    fn ask(&mut self, now: Time, limit: RateLimit, urgency: Urgency) -> Permit {
        self.asked_at = now;
        let interval_us = limit.interval_us();
        let burst_us = interval_us.max(BURST_MS * 1_000);
        // A limit that rises takes effect at once, whatever was due under the one before.
        let latest_us = START_DEBT_MS * 1_000 + interval_us * (URGENT_AHEAD + 2);
        self.next_at = self.next_at.min(now.plus_micros(latest_us));
        let ahead_us = match urgency {
            Urgency::Normal => burst_us,
            Urgency::Urgent => burst_us + interval_us * URGENT_AHEAD,
        };
        if now.plus_micros(ahead_us) >= self.next_at {
            self.next_at = self.next_at.max(now).plus_micros(interval_us);
            self.denied = 0;
            return Permit::Granted;
        }
        let turn_us = self.denied * interval_us;
        self.denied += 1;
        let wait_us = self.next_at.micros_since(now.plus_micros(burst_us)) + turn_us;
        Permit::Denied {
            retry_after_ms: wait_us
                .div_ceil(1_000)
                .clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1),
        }
    }
}
