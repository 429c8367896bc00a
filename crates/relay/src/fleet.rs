//! Backend servers, their lifetimes, and what this router knows of each.

use std::collections::HashMap;
use std::sync::Arc;

use policy::Time;

use crate::Registration;
use crate::ServerState;

/// Time for which a missing entry is kept after the store was away, in
/// milliseconds: the platform restores those of live servers within two seconds.
const RESTORE_MS: u64 = 2_100;

/// Time for which another router's load counts, in milliseconds.
const OTHERS_MS: u64 = 1_500;

/// Times that reading may take longer than expected before it counts as silence.
const READING_SLACK: u64 = 2;

/// Key of a backend server's lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    index: u32,
    generation: u32,
}

/// Requests that routers have at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Time to read their prompts, as far as they wait for that, in milliseconds.
    pub reading_ms: u64,
}

/// What changed in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A lifetime that was not known.
    Added(ServerKey),
    /// A known lifetime that now drains.
    Draining(ServerKey),
    /// A lifetime that is over, or whose registration is gone.
    Removed(Arc<str>),
}

#[derive(Clone, Copy, Debug)]
struct OtherLoad {
    load: Load,
    until: Time,
}

/// A backend server in one lifetime.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its registration; the weights are the newest that were seen anywhere.
    pub registration: Registration,
    /// Hash of its id and start, the same on every router.
    pub instance_hash: u64,
    /// When its registration was last read.
    pub seen_at: Time,
    /// Until when it gets no request, since it turned one away or broke one off.
    pub avoid_until: Time,
    /// Until when it is expected to take new weights.
    pub switching_until: Time,
    /// Failures in a row.
    pub failures: u32,
    /// When it was first sent a request that it has not answered since.
    pub silent_since: Option<Time>,
    own: Load,
    others: HashMap<u64, OtherLoad>,
    missing_since: Option<Time>,
}

impl BackendServer {
    fn new(now: Time, registration: Registration) -> BackendServer {
        let instance_hash = policy::name_hash(&registration.id) ^ registration.started_ms;
        BackendServer {
            registration,
            instance_hash,
            seen_at: now,
            avoid_until: Time(0),
            switching_until: Time(0),
            failures: 0,
            silent_since: None,
            own: Load::default(),
            others: HashMap::new(),
            missing_since: None,
        }
    }

    /// Returns for how long it has left requests unanswered beyond the time that
    /// their prompts take to read, in milliseconds.
    pub fn unresponsive_ms(&self, now: Time) -> u64 {
        let since = self.silent_since;
        let unresponsive_ms = since.map_or(0, |since| now.millis_since(since));
        unresponsive_ms.saturating_sub(self.load(now).reading_ms * READING_SLACK)
    }

    /// Returns the requests of this router.
    pub fn own_load(&self) -> Load {
        self.own
    }

    /// Returns the requests of all routers, as far as they are known.
    pub fn load(&self, now: Time) -> Load {
        self.load_with(now, |_| true)
    }

    /// Returns the requests of this router and of those that `counts` names.
    pub fn load_with<F>(&self, now: Time, counts: F) -> Load
    where
        F: Fn(u64) -> bool,
    {
        let live = self.others.iter().filter(|(_, other)| other.until > now);
        let counted = live.filter(|(router, _)| counts(**router));
        counted.fold(self.own, |sum, (_, other)| Load {
            requests: sum.requests + other.load.requests,
            reading_ms: sum.reading_ms + other.load.reading_ms,
        })
    }

    /// Returns the age of the oldest of the other routers' loads that count, in milliseconds.
    pub fn load_age_ms(&self, now: Time) -> u64 {
        let live = self.others.values().filter(|other| other.until > now);
        let ages = live.map(|other| OTHERS_MS.saturating_sub(other.until.millis_since(now)));
        ages.max().unwrap_or(0)
    }

    /// Takes in another router's load.
    pub fn set_other_load(&mut self, now: Time, router: u64, load: Load) {
        let until = now.plus_millis(OTHERS_MS);
        self.others.insert(router, OtherLoad { load, until });
    }

    /// Returns the version of its weights of `model`.
    pub fn weights(&self, model: &str) -> Option<u64> {
        self.registration.weights.get(model).copied()
    }

    /// Takes in a version of its weights; lower ones than known are old news.
    pub fn record_weights(&mut self, model: &str, version: u64) -> bool {
        let Some(known) = self.registration.weights.get_mut(model) else {
            return false;
        };
        if *known >= version {
            return false;
        }
        *known = version;
        true
    }

    /// Takes in that it is to turn requests away until some time, for it takes
    /// new weights; old news if it has them.
    pub fn expect_switch(&mut self, model: &str, version: u64, until: Time) {
        if self.weights(model).is_none_or(|has| has < version) {
            self.switching_until = self.switching_until.max(until);
        }
    }

    /// Tells whether it may get new requests.
    pub fn takes_requests(&self, now: Time) -> bool {
        self.registration.state == ServerState::Ready
            && self.avoid_until <= now
            && self.switching_until <= now
    }
}

#[derive(Clone, Debug, Default)]
struct Slot {
    generation: u32,
    server: Option<BackendServer>,
}

/// All backend servers that are registered.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    slots: Vec<Slot>,
    by_id: HashMap<Arc<str>, ServerKey>,
    by_instance_hash: HashMap<u64, ServerKey>,
}

impl Fleet {
    /// Takes in a registration.
    pub fn apply(&mut self, now: Time, registration: Registration) -> Option<FleetChange> {
        let known = self.by_id.get(&registration.id).copied();
        if let Some(key) = known {
            let server = self.get_mut(key).expect("the index names live servers");
            if server.registration.started_ms == registration.started_ms {
                return update(now, server, registration).then_some(FleetChange::Draining(key));
            }
            self.remove(&registration.id);
        }
        Some(FleetChange::Added(self.add(now, registration)))
    }

    /// Ends a registration.
    pub fn remove(&mut self, id: &str) -> Option<FleetChange> {
        let key = self.by_id.remove(id)?;
        let slot = &mut self.slots[key.index as usize];
        let server = slot.server.take()?;
        slot.generation += 1;
        self.by_instance_hash.remove(&server.instance_hash);
        Some(FleetChange::Removed(server.registration.id))
    }

    /// Ends a registration, or keeps it for a while if the store was away until
    /// `away_until`: the platform restores those of live servers.
    pub fn remove_or_mark_missing(&mut self, now: Time, id: &str, away_until: Time) -> Option<FleetChange> {
        if self.is_restore_period_over(now, away_until) {
            return self.remove(id);
        }
        let key = self.by_id(id)?;
        let server = self.get_mut(key).expect("the index names live servers");
        server.missing_since.get_or_insert(now);
        None
    }

    /// Takes in all registrations; those that are missing are removed, or kept
    /// for a while if the store was away until `away_until`.
    pub fn replace(
        &mut self,
        now: Time,
        entries: Vec<Registration>,
        away_until: Time,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let mut present = std::collections::HashSet::new();
        for registration in entries {
            present.insert(registration.id.clone());
            changes.extend(self.apply(now, registration));
        }
        let is_restore_period_over = self.is_restore_period_over(now, away_until);
        let ids: Vec<Arc<str>> = self.by_id.keys().cloned().collect();
        for id in ids.into_iter().filter(|id| !present.contains(id)) {
            let key = self.by_id[&id];
            let server = self.get_mut(key).expect("the index names live servers");
            server.missing_since.get_or_insert(now);
            if is_restore_period_over {
                changes.extend(self.remove(&id));
            }
        }
        changes
    }

    /// Tells whether registrations that are missing since the store was away
    /// until `away_until` would be back by now.
    pub fn is_restore_period_over(&self, now: Time, away_until: Time) -> bool {
        now >= away_until.plus_millis(RESTORE_MS)
    }

    /// Tells whether a registration was missing when all were last read.
    pub fn has_missing(&self) -> bool {
        self.iter()
            .any(|(_, server)| server.missing_since.is_some())
    }

    /// Returns the registrations that other routers may take over: not those that
    /// are missing and only kept for a while.
    pub fn registered(&self) -> impl Iterator<Item = &BackendServer> {
        let servers = self.iter().map(|(_, server)| server);
        servers.filter(|server| server.missing_since.is_none())
    }

    /// Returns a hash of all registered lifetimes and their states, the same on
    /// routers that have read the same registrations.
    pub fn digest(&self) -> u64 {
        let servers = self.registered().map(|server| {
            let state = u64::from(server.registration.state == ServerState::Draining);
            policy::rendezvous_weight(server.instance_hash, state)
        });
        servers.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns a backend server while its lifetime lasts.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        let slot = self.slots.get(key.index as usize)?;
        slot.server
            .as_ref()
            .filter(|_| slot.generation == key.generation)
    }

    /// Returns a backend server while its lifetime lasts.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut BackendServer> {
        let slot = self.slots.get_mut(key.index as usize)?;
        let generation = slot.generation;
        slot.server
            .as_mut()
            .filter(|_| generation == key.generation)
    }

    /// Returns the key of the lifetime with `instance_hash`.
    pub fn by_instance_hash(&self, instance_hash: u64) -> Option<ServerKey> {
        self.by_instance_hash.get(&instance_hash).copied()
    }

    /// Returns the key of the live server with `id`.
    pub fn by_id(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all backend servers, in no order that matters.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &BackendServer)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let index = u32::try_from(index).expect("fewer than 2^32 servers");
            let generation = slot.generation;
            let server = slot.server.as_ref()?;
            Some((ServerKey { index, generation }, server))
        })
    }

    /// Returns the backend servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a BackendServer)> {
        self.iter()
            .filter(move |(_, server)| &*server.registration.service == service)
    }

    /// Clears another router's load at all backend servers but those that `keep` names.
    pub fn clear_other_load<F>(&mut self, router: u64, keep: F)
    where
        F: Fn(u64) -> bool,
    {
        let servers = self
            .slots
            .iter_mut()
            .filter_map(|slot| slot.server.as_mut());
        for server in servers.filter(|server| !keep(server.instance_hash)) {
            server.others.remove(&router);
        }
    }

    /// Counts a request of this router that is sent to a backend server.
    pub fn begin_request(&mut self, now: Time, key: ServerKey, reading_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.requests += 1;
            server.own.reading_ms += reading_ms;
            server.silent_since.get_or_insert(now);
        }
    }

    /// Counts down the reading of a request, once its prompt has been read.
    pub fn end_prefill(&mut self, now: Time, key: ServerKey, reading_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.reading_ms = server.own.reading_ms.saturating_sub(reading_ms);
            server.silent_since = (server.own.requests > 1).then_some(now);
        }
    }

    /// Ends a request of this router.
    pub fn end_request(&mut self, key: ServerKey, reading_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.requests = server.own.requests.saturating_sub(1);
            server.own.reading_ms = server.own.reading_ms.saturating_sub(reading_ms);
            if server.own.requests == 0 {
                server.silent_since = None;
            }
        }
    }

    fn add(&mut self, now: Time, registration: Registration) -> ServerKey {
        let index = self.slots.iter().position(|slot| slot.server.is_none());
        let index = index.unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        let key = ServerKey {
            index: u32::try_from(index).expect("fewer than 2^32 servers"),
            generation: slot.generation,
        };
        let server = BackendServer::new(now, registration);
        self.by_id.insert(server.registration.id.clone(), key);
        self.by_instance_hash.insert(server.instance_hash, key);
        slot.server = Some(server);
        key
    }
}

/// Takes in a newer registration of the same lifetime; tells whether it began to drain.
fn update(now: Time, server: &mut BackendServer, mut registration: Registration) -> bool {
    let was = server.registration.state;
    for (model, version) in &server.registration.weights {
        if let Some(reported) = registration.weights.get_mut(model) {
            *reported = (*reported).max(*version);
        }
    }
    if was == ServerState::Draining {
        registration.state = ServerState::Draining;
    }
    server.seen_at = now;
    server.missing_since = None;
    server.registration = registration;
    was == ServerState::Ready && server.registration.state == ServerState::Draining
}
