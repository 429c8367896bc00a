//! Detects poison requests: requests that crash the backend servers that execute them.
//!
//! Callers send such a request again with new ids, through any router. All requests in
//! flight at a backend server when it fails get a strike. Co-located requests succeed
//! at their next attempt, while the poison request collects further strikes.

use std::collections::HashMap;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

/// Number of strikes, each on another incarnation, from which a request is refused.
const MAX_STRIKES: usize = 3;

/// Time for which a strike counts, in milliseconds.
const STRIKE_TTL_MS: u64 = 120_000;

/// Maximum number of requests with strikes that are kept.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Record that a request was in flight on a backend server when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request: hash of its workspace, method, path and body.
    pub request: u64,
    /// Instance hash of the backend server.
    pub server: u64,
}

/// Strikes by request fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Strikes {
    /// Instance hash of the backend server and time of each strike.
    by_request: HashMap<u64, Vec<(u64, Time)>>,
}

impl Strikes {
    /// Adds a strike. Returns whether it is new.
    pub fn add(&mut self, now: Time, strike: Strike) -> bool {
        if self.by_request.len() >= MAX_TRACKED_REQUESTS {
            self.expire(now);
        }
        let servers = self.by_request.entry(strike.request).or_default();
        if servers.iter().any(|(server, _)| *server == strike.server) {
            return false;
        }
        servers.push((strike.server, now));
        true
    }

    /// Returns whether a request has too many strikes to be dispatched again.
    pub fn is_poison(&self, now: Time, request: u64) -> bool {
        let servers = self.by_request.get(&request).into_iter().flatten();
        let live = servers.filter(|(_, at)| now.millis_since(*at) < STRIKE_TTL_MS);
        live.count() >= MAX_STRIKES
    }

    fn expire(&mut self, now: Time) {
        for servers in self.by_request.values_mut() {
            servers.retain(|(_, at)| now.millis_since(*at) < STRIKE_TTL_MS);
        }
        self.by_request.retain(|_, servers| !servers.is_empty());
        if self.by_request.len() >= MAX_TRACKED_REQUESTS {
            // Under a flood of failing requests it is better to lose strikes than to use
            // unlimited memory.
            self.by_request.clear();
        }
    }
}
