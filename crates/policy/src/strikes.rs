//! Requests that break the runners that run them.
//!
//! All requests that a runner had when it broke are struck. One of them may have
//! been on trial there, the only struck one: then it alone is to blame, and if it
//! has broken enough runners, it is to blame for the earlier ones too. Strikes
//! of the others on these runners no longer count.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::ServerInstance;
use crate::Strike;
use crate::Time;

/// Time for which a strike counts, in milliseconds.
const STRIKE_LIFE_MS: u64 = 600_000;

/// Time for which a strike is told in each round of gossip, in milliseconds.
const LATEST_MS: u64 = 10_000;

/// A strike without its request and runner.
#[derive(Clone, Copy, Debug)]
struct Note {
    at_ms: u64,
    on_trial: bool,
}

/// Runners that broke, by the fingerprint of a request that they ran.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    by_fingerprint: BTreeMap<u64, BTreeMap<ServerInstance, Note>>,
    /// Who is to blame for a broken runner, where it is known.
    culprits: BTreeMap<ServerInstance, u64>,
    /// Runners that were seen alive, and when; strikes on them before don't count.
    alive: BTreeMap<String, (Incarnation, Time)>,
}

impl Strikes {
    /// Adds a strike; tells whether this is news.
    pub(crate) fn add(&mut self, strike: &Strike, limit: u32) -> bool {
        if self.was_alive(strike) {
            return false;
        }
        let marks = self.by_fingerprint.entry(strike.fingerprint).or_default();
        let known = marks.get(&strike.mark);
        if known.is_some_and(|note| note.on_trial || !strike.on_trial) {
            return false;
        }
        let note = Note {
            at_ms: strike.at_ms,
            on_trial: strike.on_trial,
        };
        marks.insert(strike.mark.clone(), note);
        if strike.on_trial {
            self.blame(strike.fingerprint, &strike.mark, limit);
        }
        true
    }

    /// Adds a strike that still counts; tells whether this is news.
    pub(crate) fn add_live(&mut self, now: Time, strike: &Strike, limit: u32) -> bool {
        lives(now, strike.at_ms) && self.add(strike, limit)
    }

    fn was_alive(&self, strike: &Strike) -> bool {
        let alive = self.alive.get(&strike.mark.server);
        alive.is_some_and(|(incarnation, seen)| {
            *incarnation == strike.mark.incarnation && strike.at_ms < seen.as_millis()
        })
    }

    /// Returns the strikes of the last rounds of gossip.
    pub(crate) fn latest(&self, now: Time) -> Vec<Strike> {
        let since = now.as_millis().saturating_sub(LATEST_MS);
        let all = self.all().into_iter();
        all.filter(|strike| strike.at_ms >= since).collect()
    }

    /// Returns how many broken runners a request may be to blame for.
    pub(crate) fn count(&self, now: Time, fingerprint: u64) -> u32 {
        let blamed = self
            .live_marks(now, fingerprint)
            .filter(|mark| self.may_blame(mark, fingerprint));
        u32::try_from(blamed.count()).unwrap_or(u32::MAX)
    }

    /// Returns how many runners broke that a request ran on, whoever is to blame.
    pub(crate) fn broken_runners(&self, now: Time, fingerprint: u64) -> u32 {
        let live = self.live_marks(now, fingerprint);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    fn live_marks(&self, now: Time, fingerprint: u64) -> impl Iterator<Item = &ServerInstance> {
        self.by_fingerprint
            .get(&fingerprint)
            .into_iter()
            .flatten()
            .filter(move |(_, note)| lives(now, note.at_ms))
            .map(|(mark, _)| mark)
    }

    /// Returns the time of a request's last strike.
    pub(crate) fn last_at(&self, fingerprint: u64) -> Option<Time> {
        let notes = self.by_fingerprint.get(&fingerprint)?.values();
        notes.map(|note| Time::from_millis(note.at_ms)).max()
    }

    /// Returns the time at which the last strike of a request no longer counts.
    pub(crate) fn forgiven_at(&self, fingerprint: u64) -> Option<Time> {
        Some(self.last_at(fingerprint)?.plus_millis(STRIKE_LIFE_MS))
    }

    /// Withdraws the strikes on a runner that is seen alive after them.
    pub(crate) fn withdraw(&mut self, server: &str, incarnation: Incarnation, seen: Time) {
        self.alive.insert(server.to_owned(), (incarnation, seen));
        for marks in self.by_fingerprint.values_mut() {
            marks.retain(|mark, note| {
                let alive = mark.server == server && mark.incarnation == incarnation;
                !alive || note.at_ms >= seen.as_millis()
            });
        }
        self.drop_empty();
    }

    /// Tells whether no request is struck.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Drops strikes that no longer count.
    pub(crate) fn expire(&mut self, now: Time) {
        for marks in self.by_fingerprint.values_mut() {
            marks.retain(|_, note| lives(now, note.at_ms));
        }
        self.drop_empty();
    }

    /// Returns all strikes.
    pub(crate) fn all(&self) -> Vec<Strike> {
        self.by_fingerprint
            .iter()
            .flat_map(|(fingerprint, marks)| {
                marks.iter().map(|(mark, note)| Strike {
                    fingerprint: *fingerprint,
                    mark: mark.clone(),
                    at_ms: note.at_ms,
                    on_trial: note.on_trial,
                })
            })
            .collect()
    }

    /// Blames a request for the runner that it broke on trial, and for all that
    /// it was struck for once it has broken `limit` of them.
    fn blame(&mut self, fingerprint: u64, mark: &ServerInstance, limit: u32) {
        let marks = &self.by_fingerprint[&fingerprint];
        if marks.len() >= limit as usize {
            for mark in marks.keys() {
                self.culprits.insert(mark.clone(), fingerprint);
            }
        } else {
            self.culprits.insert(mark.clone(), fingerprint);
        }
    }

    fn may_blame(&self, mark: &ServerInstance, fingerprint: u64) -> bool {
        self.culprits
            .get(mark)
            .is_none_or(|culprit| *culprit == fingerprint)
    }

    fn drop_empty(&mut self) {
        self.by_fingerprint.retain(|_, marks| !marks.is_empty());
        let by_fingerprint = &self.by_fingerprint;
        self.culprits.retain(|mark, fingerprint| {
            let marks = by_fingerprint.get(fingerprint);
            marks.is_some_and(|marks| marks.contains_key(mark))
        });
    }
}

fn lives(now: Time, at_ms: u64) -> bool {
    now.as_millis() < at_ms + STRIKE_LIFE_MS
}
