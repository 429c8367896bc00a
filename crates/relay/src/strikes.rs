//! Requests that crash the backend servers that begin to run them.
//!
//! Such a request comes again under other ids, at any router. All requests that
//! a backend server had when it broke off are struck; the innocent ones get
//! through at their next attempt, while the guilty one collects further strikes.

use std::collections::HashMap;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

/// Lifetimes of backend servers that a request may break before it is refused.
const MAX_STRIKES: usize = 3;

/// Time for which a strike counts, in milliseconds.
const STRIKE_MS: u64 = 120_000;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// A request that was running on a backend server when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Hash of what makes the request: workspace, method, path and body.
    pub request: u64,
    /// Mark of the backend server's lifetime.
    pub server: u64,
}

/// Strikes by request.
#[derive(Clone, Debug, Default)]
pub struct Strikes {
    by_request: HashMap<u64, Vec<(u64, Time)>>,
}

impl Strikes {
    /// Adds a strike; tells whether it is news.
    pub fn add(&mut self, now: Time, strike: Strike) -> bool {
        if self.by_request.len() >= MAX_REQUESTS {
            self.expire(now);
        }
        let servers = self.by_request.entry(strike.request).or_default();
        if servers.iter().any(|(server, _)| *server == strike.server) {
            return false;
        }
        servers.push((strike.server, now));
        true
    }

    /// Tells whether a request has broken too many backend servers to be tried again.
    pub fn is_poison(&self, now: Time, request: u64) -> bool {
        let servers = self.by_request.get(&request).into_iter().flatten();
        let live = servers.filter(|(_, at)| now.millis_since(*at) < STRIKE_MS);
        live.count() >= MAX_STRIKES
    }

    fn expire(&mut self, now: Time) {
        for servers in self.by_request.values_mut() {
            servers.retain(|(_, at)| now.millis_since(*at) < STRIKE_MS);
        }
        self.by_request.retain(|_, servers| !servers.is_empty());
        if self.by_request.len() >= MAX_REQUESTS {
            // A flood of broken requests: better to forget than to grow.
            self.by_request.clear();
        }
    }
}
