//! Bounded memory of when something last happened, by hash.

use std::collections::HashMap;

use crate::Time;

/// Number of hashes from which a new generation begins.
const MAX_GENERATION: usize = 8_192;

/// Time after which a new generation begins, in milliseconds.
const GENERATION_MS: u64 = 30_000;

/// Times by hash in two generations. The older one is dropped when the newer one is full or old.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentTimes {
    current: HashMap<u64, Time>,
    previous: HashMap<u64, Time>,
    began_at: Time,
}

impl RecentTimes {
    /// Records that it happened to `hash` at `now`.
    pub(crate) fn record(&mut self, now: Time, hash: u64) {
        let is_old = now.millis_since(self.began_at) >= GENERATION_MS;
        if is_old || self.current.len() >= MAX_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = now;
        }
        self.current.insert(hash, now);
    }

    /// Returns when it last happened to `hash`, if that is remembered.
    pub(crate) fn last(&self, hash: u64) -> Option<Time> {
        let current = self.current.get(&hash);
        current.or_else(|| self.previous.get(&hash)).copied()
    }
}
