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
const STRIKE_TTL_MS: u64 = 600_000;

/// Time for which a strike is told in each round of gossip, in milliseconds.
const RECENT_MS: u64 = 10_000;

/// A strike without its request and runner.
#[derive(Clone, Copy, Debug)]
struct StrikeInfo {
    at_ms: u64,
    on_trial: bool,
}

/// Runners that broke, by the fingerprint of a request that they ran.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    by_fingerprint: BTreeMap<u64, BTreeMap<ServerInstance, StrikeInfo>>,
    /// Who is to blame for a broken runner, where it is known.
    poison_requests: BTreeMap<ServerInstance, u64>,
    /// Runners that were seen alive, and when; strikes on them before don't count.
    last_alive: BTreeMap<String, (Incarnation, Time)>,
}

impl Strikes {
    /// Adds a strike; tells whether this is news.
    pub(crate) fn add(&mut self, strike: &Strike, limit: u32) -> bool {
        if self.is_refuted(strike) {
            return false;
        }
        let instances = self.by_fingerprint.entry(strike.fingerprint).or_default();
        let known = instances.get(&strike.mark);
        if known.is_some_and(|info| info.on_trial || !strike.on_trial) {
            return false;
        }
        let info = StrikeInfo {
            at_ms: strike.at_ms,
            on_trial: strike.on_trial,
        };
        instances.insert(strike.mark.clone(), info);
        if strike.on_trial {
            self.attribute_failure(strike.fingerprint, &strike.mark, limit);
        }
        true
    }

    /// Adds a strike that still counts; tells whether this is news.
    pub(crate) fn add_if_live(&mut self, now: Time, strike: &Strike, limit: u32) -> bool {
        is_live(now, strike.at_ms) && self.add(strike, limit)
    }

    fn is_refuted(&self, strike: &Strike) -> bool {
        let alive = self.last_alive.get(&strike.mark.server);
        alive.is_some_and(|(incarnation, seen)| {
            *incarnation == strike.mark.incarnation && strike.at_ms < seen.as_millis()
        })
    }

    /// Returns the strikes of the last rounds of gossip.
    pub(crate) fn recent(&self, now: Time) -> Vec<Strike> {
        let since = now.as_millis().saturating_sub(RECENT_MS);
        let all = self.all().into_iter();
        all.filter(|strike| strike.at_ms >= since).collect()
    }

    /// Returns how many broken runners a request may be to blame for.
    pub(crate) fn count(&self, now: Time, fingerprint: u64) -> u32 {
        let attributed = self
            .live_instances(now, fingerprint)
            .filter(|instance| self.may_be_poison(instance, fingerprint));
        u32::try_from(attributed.count()).unwrap_or(u32::MAX)
    }

    /// Returns how many runners broke that a request ran on, whoever is to blame.
    pub(crate) fn failed_engines(&self, now: Time, fingerprint: u64) -> u32 {
        let live = self.live_instances(now, fingerprint);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    fn live_instances(&self, now: Time, fingerprint: u64) -> impl Iterator<Item = &ServerInstance> {
        self.by_fingerprint
            .get(&fingerprint)
            .into_iter()
            .flatten()
            .filter(move |(_, info)| is_live(now, info.at_ms))
            .map(|(instance, _)| instance)
    }

    /// Returns the time of a request's last strike.
    pub(crate) fn last_strike_at(&self, fingerprint: u64) -> Option<Time> {
        let infos = self.by_fingerprint.get(&fingerprint)?.values();
        infos.map(|info| Time::from_millis(info.at_ms)).max()
    }

    /// Returns the time at which the last strike of a request no longer counts.
    pub(crate) fn last_strike_expires_at(&self, fingerprint: u64) -> Option<Time> {
        Some(self.last_strike_at(fingerprint)?.plus_millis(STRIKE_TTL_MS))
    }

    /// Withdraws the strikes on a runner that is seen alive after them.
    pub(crate) fn withdraw(&mut self, server: &str, incarnation: Incarnation, seen: Time) {
        self.last_alive
            .insert(server.to_owned(), (incarnation, seen));
        for instances in self.by_fingerprint.values_mut() {
            instances.retain(|instance, info| {
                let alive = instance.server == server && instance.incarnation == incarnation;
                !alive || info.at_ms >= seen.as_millis()
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
        for instances in self.by_fingerprint.values_mut() {
            instances.retain(|_, info| is_live(now, info.at_ms));
        }
        self.drop_empty();
    }

    /// Returns all strikes.
    pub(crate) fn all(&self) -> Vec<Strike> {
        self.by_fingerprint
            .iter()
            .flat_map(|(fingerprint, instances)| {
                instances.iter().map(|(instance, info)| Strike {
                    fingerprint: *fingerprint,
                    mark: instance.clone(),
                    at_ms: info.at_ms,
                    on_trial: info.on_trial,
                })
            })
            .collect()
    }

    /// Blames a request for the runner that it broke on trial, and for all that
    /// it was struck for once it has broken `limit` of them.
    fn attribute_failure(&mut self, fingerprint: u64, instance: &ServerInstance, limit: u32) {
        let instances = &self.by_fingerprint[&fingerprint];
        if instances.len() >= limit as usize {
            for instance in instances.keys() {
                self.poison_requests.insert(instance.clone(), fingerprint);
            }
        } else {
            self.poison_requests.insert(instance.clone(), fingerprint);
        }
    }

    fn may_be_poison(&self, instance: &ServerInstance, fingerprint: u64) -> bool {
        self.poison_requests
            .get(instance)
            .is_none_or(|poison| *poison == fingerprint)
    }

    fn drop_empty(&mut self) {
        self.by_fingerprint
            .retain(|_, instances| !instances.is_empty());
        let by_fingerprint = &self.by_fingerprint;
        self.poison_requests.retain(|instance, fingerprint| {
            let instances = by_fingerprint.get(fingerprint);
            instances.is_some_and(|instances| instances.contains_key(instance))
        });
    }
}

fn is_live(now: Time, at_ms: u64) -> bool {
    now.as_millis() < at_ms + STRIKE_TTL_MS
}
