//! Which backend servers this router can't connect to although other routers reach them.
//!
//! A connection that fails doesn't tell a dead server from a lost link. What does is whether other
//! routers have had responses of that server since.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

use crate::BackendServer;
use crate::Fleet;
use crate::ServerKey;

/// Time for which a failed connection counts, in milliseconds.
const FAILURE_KEPT_MS: u64 = 3_000;

/// Largest error of the time at which another router had a response, in milliseconds: the way of the
/// message that reports it.
const REPORT_LAG_MS: u64 = 100;

/// Time since the last response to another router up to which a server that this one can't connect to
/// is tried through another, in milliseconds.
const RECENT_RESPONSE_MS: u64 = 500;

/// Unreachable servers from which the whole failure domain counts as cut off.
const MIN_UNREACHABLE: usize = 2;

/// Interval between two probes of a failure domain that is cut off, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// Time without any response of a failure domain after which connections to servers that owe one are
/// probed, in milliseconds.
const SILENCE_MS: u64 = 600;

/// Time for which a router isn't asked again that could not reach a failure domain itself, in
/// milliseconds.
const REFUSED_MS: u64 = 1_000;

/// How a connection to a backend server is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By this router itself.
    Direct,
    /// Through another router.
    ThroughRouter,
}

/// A change of what this router reaches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// A failure domain can't be reached any more.
    Cut {
        /// Name of the failure domain.
        domain: Arc<str>,
        /// Servers whose connections failed and that other routers reach.
        unreachable: usize,
    },
    /// It can be reached again.
    Reached {
        /// Name of the failure domain.
        domain: Arc<str>,
        /// Time for which it could not, in milliseconds.
        cut_ms: u64,
    },
}

/// First failure of a server's connections since one was established, and the latest.
#[derive(Clone, Copy, Debug)]
struct Failure {
    first_at: Time,
    last_at: Time,
}

/// What one router knows of the connections that it made itself.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    failures: BTreeMap<ServerKey, Failure>,
    /// When a connection into each failure domain was last established.
    connected_at: BTreeMap<Arc<str>, Time>,
    /// Failure domains that are cut off, and since when.
    cut_since: BTreeMap<Arc<str>, Time>,
    /// When another router failed to connect to a server for this one.
    failed_for_others_at: BTreeMap<ServerKey, Time>,
    /// Until when each router isn't asked to connect into a failure domain.
    refused_until: BTreeMap<(u64, Arc<str>), Time>,
    /// When each failure domain may be probed next.
    probe_at: BTreeMap<Arc<str>, Time>,
}

impl Reach {
    /// Records that this router established a connection to a backend server.
    pub fn record_connected(
        &mut self,
        now: Time,
        key: ServerKey,
        server: &BackendServer,
    ) -> Option<ReachChange> {
        let domain = &server.registration.domain;
        self.failures.remove(&key);
        self.connected_at.insert(Arc::clone(domain), now);
        let since = self.cut_since.remove(domain)?;
        Some(ReachChange::Reached {
            domain: Arc::clone(domain),
            cut_ms: now.millis_since(since),
        })
    }

    /// Records that a connection of this router to a backend server failed.
    pub fn record_failed(&mut self, now: Time, key: ServerKey) {
        let first = Failure {
            first_at: now,
            last_at: now,
        };
        self.failures.entry(key).or_insert(first).last_at = now;
    }

    /// Records that another router failed to connect to a backend server for this one.
    pub fn record_failed_for_other(&mut self, now: Time, key: ServerKey) {
        self.failed_for_others_at.insert(key, now);
    }

    /// Records that another router can't connect into a failure domain either, or doesn't respond.
    pub fn record_refused(&mut self, now: Time, router: u64, domain: &Arc<str>) {
        let until = now.plus_millis(REFUSED_MS);
        self.refused_until
            .insert((router, Arc::clone(domain)), until);
    }

    /// Returns whether another router may be asked to connect into a failure domain.
    pub fn may_ask(&self, now: Time, router: u64, domain: &Arc<str>) -> bool {
        let until = self.refused_until.get(&(router, Arc::clone(domain)));
        until.is_none_or(|until| *until <= now)
    }

    /// Drops what is too old to count, and returns the failure domains that are newly cut off.
    pub fn update(&mut self, now: Time, fleet: &Fleet) -> Vec<ReachChange> {
        self.refused_until.retain(|_, until| *until > now);
        self.failed_for_others_at
            .retain(|_, at| now.millis_since(*at) < FAILURE_KEPT_MS);
        self.failures.retain(|key, failure| {
            let is_recent = now.millis_since(failure.last_at) < FAILURE_KEPT_MS;
            is_recent && fleet.get(*key).is_some()
        });
        let mut unreachable: BTreeMap<Arc<str>, Vec<Time>> = BTreeMap::new();
        for (key, failure) in &self.failures {
            let server = fleet.get(*key);
            if let Some(server) = server.filter(|s| is_reached_by_others(now, s, *failure)) {
                let domain = Arc::clone(&server.registration.domain);
                unreachable
                    .entry(domain)
                    .or_default()
                    .push(failure.first_at);
            }
        }
        let mut changes = Vec::new();
        for (domain, failed_at) in unreachable {
            if self.is_newly_cut(fleet, &domain, &failed_at) {
                self.cut_since.insert(Arc::clone(&domain), now);
                changes.push(ReachChange::Cut {
                    domain,
                    unreachable: failed_at.len(),
                });
            }
        }
        changes
    }

    /// Returns how a connection to a backend server is to be made.
    pub fn path(&self, now: Time, key: ServerKey, server: &BackendServer) -> Path {
        let is_unreachable = || {
            let failure = self.failures.get(&key);
            failure.is_some_and(|failure| is_reached_by_others(now, server, *failure))
        };
        if self.cut_since(&server.registration.domain).is_some() || is_unreachable() {
            Path::ThroughRouter
        } else {
            Path::Direct
        }
    }

    /// Returns whether a backend server to which a connection has just failed is worth a try through
    /// another router.
    pub fn may_be_reached_by_others(
        &self,
        now: Time,
        key: ServerKey,
        server: &BackendServer,
    ) -> bool {
        let failed_at = self.failed_for_others_at.get(&key).copied();
        let responded_at = server.responded_to_others_at(now);
        responded_at
            .is_some_and(|at| now.millis_since(at) <= RECENT_RESPONSE_MS && Some(at) > failed_at)
    }

    /// Returns since when a failure domain is cut off from this router; none if it isn't.
    pub fn cut_since(&self, domain: &str) -> Option<Time> {
        self.cut_since.get(domain).copied()
    }

    /// Returns the backend servers to which a connection is to be tried now: one of each failure
    /// domain that is cut off, and those that owe responses while their domain sends none.
    pub fn probes(&mut self, now: Time, fleet: &Fleet) -> Vec<ServerKey> {
        let mut servers: BTreeMap<Arc<str>, Vec<(ServerKey, &BackendServer)>> = BTreeMap::new();
        for (key, server) in fleet.iter().filter(|(_, server)| server.is_ready()) {
            let domain = Arc::clone(&server.registration.domain);
            servers.entry(domain).or_default().push((key, server));
        }
        let mut probes = Vec::new();
        for (domain, servers) in servers {
            if self.probe_at.get(&domain).is_some_and(|at| *at > now) {
                continue;
            }
            let chosen = self.choose_probes(now, &domain, &servers);
            if !chosen.is_empty() {
                let next_at = now.plus_millis(PROBE_INTERVAL_MS);
                self.probe_at.insert(domain, next_at);
            }
            probes.extend(chosen);
        }
        probes
    }

    fn choose_probes(
        &self,
        now: Time,
        domain: &Arc<str>,
        servers: &[(ServerKey, &BackendServer)],
    ) -> Vec<ServerKey> {
        if self.cut_since.contains_key(domain) {
            let turn = usize::try_from(now.as_millis() / PROBE_INTERVAL_MS).unwrap_or(0);
            return vec![servers[turn % servers.len()].0];
        }
        let since = |at: Option<Time>| at.map_or(u64::MAX, |at| now.millis_since(at));
        let responded_at = servers.iter().filter_map(|(_, s)| s.responded_at()).max();
        let connected_at = self.connected_at.get(domain).copied();
        if since(responded_at.max(connected_at)) < SILENCE_MS {
            return Vec::new();
        }
        let silent = servers
            .iter()
            .filter(|(_, server)| server.own_silence_ms(now) >= SILENCE_MS);
        silent.map(|(key, _)| *key).take(MIN_UNREACHABLE).collect()
    }

    fn is_newly_cut(&self, fleet: &Fleet, domain: &Arc<str>, failed_at: &[Time]) -> bool {
        let servers = fleet
            .iter()
            .filter(|(_, s)| s.is_ready() && s.registration.domain == *domain);
        let needed = servers.count().clamp(1, MIN_UNREACHABLE);
        let first_at = failed_at.iter().min().copied();
        let connected_at = self.connected_at.get(domain).copied();
        failed_at.len() >= needed && connected_at < first_at && !self.cut_since.contains_key(domain)
    }
}

/// Returns whether other routers have had a response of a server while connections to it failed. A
/// response long after the last failure may be that of a server that is back.
fn is_reached_by_others(now: Time, server: &BackendServer, failure: Failure) -> bool {
    let responded_at = server.responded_to_others_at(now);
    responded_at.is_some_and(|at| {
        at >= failure.first_at.plus_millis(REPORT_LAG_MS)
            && at <= failure.last_at.plus_millis(RECENT_RESPONSE_MS)
    })
}
