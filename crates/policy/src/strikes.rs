//! Requests that make engines fail.
//!
//! Every request that an engine had in flight when it failed gets a strike. One
//! of them may have been in quarantine there, so that no other request with
//! strikes ran on the engine. Then the failure is attributed to it alone, and
//! once enough engines have failed with it, all earlier failures are attributed
//! to it as well. Strikes of other requests on these engines no longer count.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::ServerInstance;
use crate::Strike;
use crate::Time;

/// Time for which a strike counts, in milliseconds.
const STRIKE_TTL_MS: u64 = 600_000;

/// Time for which a strike is sent in each round of gossip, in milliseconds.
const RECENT_MS: u64 = 10_000;

/// A strike without its request and engine.
#[derive(Clone, Copy, Debug)]
struct StrikeInfo {
    at_ms: u64,
    /// See [`Strike::on_trial`].
    on_trial: bool,
}

/// Failed engines by the fingerprint of the requests that they had in flight.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    by_fingerprint: BTreeMap<u64, BTreeMap<ServerInstance, StrikeInfo>>,
    /// The request that an engine failure is attributed to, where it is known.
    poison_requests: BTreeMap<ServerInstance, u64>,
    /// Engines that were seen alive, with their incarnation and the time;
    /// earlier strikes on that incarnation do not count.
    last_alive: BTreeMap<String, (Incarnation, Time)>,
}

impl Strikes {
    /// Adds a strike; returns whether it is new.
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

    /// Adds a strike that has not expired; returns whether it is new.
    pub(crate) fn add_if_live(&mut self, now: Time, strike: &Strike, limit: u32) -> bool {
        is_live(now, strike.at_ms) && self.add(strike, limit)
    }

    /// Returns whether the engine was seen alive after the strike.
    fn is_refuted(&self, strike: &Strike) -> bool {
        let alive = self.last_alive.get(&strike.mark.server);
        alive.is_some_and(|(incarnation, seen)| {
            *incarnation == strike.mark.incarnation && strike.at_ms < seen.as_millis()
        })
    }

    /// Returns the strikes that are young enough for gossip.
    pub(crate) fn recent(&self, now: Time) -> Vec<Strike> {
        let since = now.as_millis().saturating_sub(RECENT_MS);
        let all = self.all().into_iter();
        all.filter(|strike| strike.at_ms >= since).collect()
    }

    /// Returns the number of engine failures that the request may have caused.
    pub(crate) fn count(&self, now: Time, fingerprint: u64) -> u32 {
        let attributed = self
            .live_instances(now, fingerprint)
            .filter(|instance| self.may_be_poison(instance, fingerprint));
        u32::try_from(attributed.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of engines that failed while they had the request in
    /// flight, whichever request caused it.
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

    /// Returns the time of the request's latest strike.
    pub(crate) fn last_strike_at(&self, fingerprint: u64) -> Option<Time> {
        let infos = self.by_fingerprint.get(&fingerprint)?.values();
        infos.map(|info| Time::from_millis(info.at_ms)).max()
    }

    /// Returns the time at which the request's latest strike expires.
    pub(crate) fn last_strike_expires_at(&self, fingerprint: u64) -> Option<Time> {
        Some(self.last_strike_at(fingerprint)?.plus_millis(STRIKE_TTL_MS))
    }

    /// Withdraws the strikes on an engine that was alive after them.
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

    /// Returns whether there are no strikes.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Drops expired strikes.
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

    /// Attributes the failure of the engine on which the request was in
    /// quarantine to it, and all other failures it has strikes for once they
    /// reach `limit`.
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
