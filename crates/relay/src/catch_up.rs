//! Which routers are asked for a configuration that others have and this one lacks.
//!
//! The store usually delivers it. If it doesn't, any one router may be dead, silent or behind
//! itself, so more and more are asked at a time, without waiting for the first.

use std::collections::BTreeMap;

use policy::Time;

/// Time for which a router that reads the store waits for it to deliver a configuration that
/// others have, in milliseconds.
const STORE_HEAD_START_MS: u64 = 200;

/// Time after which further routers are asked, in milliseconds.
const NEXT_ASKED_MS: u64 = 300;

/// Time since its last message up to which a router is preferred, in milliseconds.
const RECENT_MS: u64 = 500;

/// Most routers that are asked at a time.
const MAX_ASKED_AT_A_TIME: usize = 16;

/// Another router, and the configuration that it has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationSource {
    /// Hash of the router's name.
    pub router: u64,
    /// Version of its configuration, 0 while unknown.
    pub version: u64,
    /// When it last sent a message.
    pub last_message_at: Time,
    /// Whether it is in this router's region.
    pub is_in_region: bool,
}

/// What one router does to get the newest configuration that it knows of.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// Version of its own configuration.
    version: u64,
    /// Since when it knows that another router has a newer one.
    behind_since: Option<Time>,
    /// When it last asked.
    asked_at: Option<Time>,
    /// Routers that were asked, and the versions that they had announced.
    asked: BTreeMap<u64, u64>,
    /// Routers to ask at a time.
    at_a_time: usize,
}

impl CatchUp {
    /// Returns since when this router knows that another one has a newer configuration.
    pub fn behind_since(&self) -> Option<Time> {
        self.behind_since
    }

    /// Returns the routers to ask now by a router whose configuration has `version`. `reads_store`
    /// says whether it reads the store itself.
    pub fn next(
        &mut self,
        now: Time,
        version: u64,
        reads_store: bool,
        sources: &[ConfigurationSource],
    ) -> Vec<u64> {
        let mut ahead: Vec<ConfigurationSource> = sources.to_vec();
        ahead.retain(|source| source.version > version);
        if version != self.version || ahead.is_empty() {
            *self = CatchUp {
                version,
                ..CatchUp::default()
            };
        }
        if ahead.is_empty() || !self.is_due(now, reads_store) {
            return Vec::new();
        }
        self.choose(now, ahead)
    }

    fn is_due(&mut self, now: Time, reads_store: bool) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        let due_at = match self.asked_at {
            Some(at) => at.plus_millis(NEXT_ASKED_MS),
            None if reads_store => since.plus_millis(STORE_HEAD_START_MS),
            None => since,
        };
        due_at <= now
    }

    /// Chooses among routers that are ahead: not those that were asked for the same version, until
    /// all were; first those that sent a message lately, then newer versions, then near ones.
    fn choose(&mut self, now: Time, ahead: Vec<ConfigurationSource>) -> Vec<u64> {
        let was_asked = |source: &ConfigurationSource| {
            let version = self.asked.get(&source.router);
            version.is_some_and(|version| *version >= source.version)
        };
        let mut left = ahead.clone();
        left.retain(|source| !was_asked(source));
        if left.is_empty() {
            self.asked.clear();
            left = ahead;
        }
        let key = |source: &ConfigurationSource| {
            let is_recent = now.millis_since(source.last_message_at) <= RECENT_MS;
            (is_recent, source.version, source.is_in_region)
        };
        left.sort_by_key(|source| std::cmp::Reverse(key(source)));
        self.at_a_time = (self.at_a_time * 2).clamp(1, MAX_ASKED_AT_A_TIME);
        left.truncate(self.at_a_time);
        self.asked_at = Some(now);
        let asked = left.iter().map(|source| (source.router, source.version));
        self.asked.extend(asked);
        left.into_iter().map(|source| source.router).collect()
    }
}
