//! Requests that break the runners that run them.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::ServerMark;
use crate::Strike;
use crate::Time;

/// Time for which a strike counts, in milliseconds.
const STRIKE_LIFE_MS: u64 = 600_000;

/// Time for which a strike is told in each round of gossip, in milliseconds.
const LATEST_MS: u64 = 10_000;

/// Time by which a load report must be later than a strike to void it, in
/// milliseconds; more than the clocks of VMs differ.
const ALIVE_MARGIN_MS: u64 = 1_000;

/// A request among those that were struck together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Struck {
    /// How many of them come before it.
    pub(crate) place: usize,
    /// Time of the strike.
    pub(crate) at: Time,
}

/// Runners that broke, by the fingerprint of a request that they ran.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    by_fingerprint: BTreeMap<u64, BTreeMap<ServerMark, u64>>,
    /// Runners that were seen alive, with the time up to which strikes of them
    /// are void.
    alive: BTreeMap<String, (Incarnation, u64)>,
}

impl Strikes {
    /// Adds a strike; tells whether this is news.
    pub(crate) fn add(&mut self, strike: &Strike) -> bool {
        if self.is_void(&strike.mark, strike.at_ms) {
            return false;
        }
        let marks = self.by_fingerprint.entry(strike.fingerprint).or_default();
        let news = !marks.contains_key(&strike.mark);
        marks.entry(strike.mark.clone()).or_insert(strike.at_ms);
        news
    }

    /// Takes in that a runner was alive at some time: what was taken for its
    /// end before was only a connection that broke.
    pub(crate) fn on_alive(&mut self, server: &str, incarnation: Incarnation, at: Time) {
        let void_ms = at.as_millis().saturating_sub(ALIVE_MARGIN_MS);
        let seen = (incarnation, void_ms);
        match self.alive.get_mut(server) {
            Some(alive) => *alive = seen,
            None => {
                self.alive.insert(server.to_owned(), seen);
            }
        }
        self.by_fingerprint.retain(|_, marks| {
            marks.retain(|mark, at| {
                let same = mark.server == server && mark.incarnation == incarnation;
                !same || *at > void_ms
            });
            !marks.is_empty()
        });
    }

    fn is_void(&self, mark: &ServerMark, at_ms: u64) -> bool {
        let alive = self.alive.get(&mark.server);
        alive.is_some_and(|(alive, until)| *alive == mark.incarnation && at_ms <= *until)
    }

    /// Adds a strike that still counts; tells whether this is news.
    pub(crate) fn add_live(&mut self, now: Time, strike: &Strike) -> bool {
        lives(now, strike.at_ms) && self.add(strike)
    }

    /// Returns the strikes of the last rounds of gossip.
    pub(crate) fn latest(&self, now: Time) -> Vec<Strike> {
        let since = now.as_millis().saturating_sub(LATEST_MS);
        let all = self.all().into_iter();
        all.filter(|strike| strike.at_ms >= since).collect()
    }

    /// Returns the place of a request among those that its last strike hit.
    pub(crate) fn together(&self, now: Time, fingerprint: u64) -> Option<Struck> {
        let marks = self.by_fingerprint.get(&fingerprint)?;
        let (mark, at_ms) = marks
            .iter()
            .filter(|(_, at)| lives(now, **at))
            .max_by_key(|(mark, at)| (**at, *mark))?;
        let place = self
            .by_fingerprint
            .range(..fingerprint)
            .filter(|(_, other)| other.contains_key(mark))
            .count();
        let at = Time::from_millis(*at_ms);
        Some(Struck { place, at })
    }

    /// Returns how many runners a request has broken lately.
    pub(crate) fn count(&self, now: Time, fingerprint: u64) -> u32 {
        let Some(marks) = self.by_fingerprint.get(&fingerprint) else {
            return 0;
        };
        let live = marks.values().filter(|at| lives(now, **at)).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }

    /// Returns the time at which the last strike of a request no longer counts.
    pub(crate) fn forgiven_at(&self, fingerprint: u64) -> Option<Time> {
        let last = self.by_fingerprint.get(&fingerprint)?.values().max()?;
        Some(Time::from_millis(last + STRIKE_LIFE_MS))
    }

    /// Drops strikes that no longer count.
    pub(crate) fn expire(&mut self, now: Time) {
        for marks in self.by_fingerprint.values_mut() {
            marks.retain(|_, at| lives(now, *at));
        }
        self.by_fingerprint.retain(|_, marks| !marks.is_empty());
    }

    /// Returns all strikes.
    pub(crate) fn all(&self) -> Vec<Strike> {
        self.by_fingerprint
            .iter()
            .flat_map(|(fingerprint, marks)| {
                marks.iter().map(|(mark, at_ms)| Strike {
                    fingerprint: *fingerprint,
                    mark: mark.clone(),
                    at_ms: *at_ms,
                })
            })
            .collect()
    }
}

fn lives(now: Time, at_ms: u64) -> bool {
    now.as_millis() < at_ms + STRIKE_LIFE_MS
}
