//! Backend servers, their incarnations, and what this router knows about each.

use std::collections::HashMap;
use std::sync::Arc;

use policy::Time;

use crate::Registration;
use crate::ServerState;

/// Time for which a missing registration is kept after an outage of the store, in
/// milliseconds. The platform restores those of live servers within two seconds.
const RESTORE_PERIOD_MS: u64 = 2_100;

/// Time for which another router's load report is valid, in milliseconds.
const OTHER_LOAD_TTL_MS: u64 = 1_500;

/// Factor by which prefill may exceed its estimate before an engine counts as unresponsive.
const PREFILL_SLACK_FACTOR: u64 = 2;

/// Key of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    index: u32,
    generation: u32,
}

/// Requests in flight at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Estimated prefill time outstanding for them, in milliseconds.
    pub prefill_ms: u64,
}

/// Change to the set of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// An incarnation was registered that was not known.
    Added(ServerKey),
    /// A known incarnation began to drain.
    Draining(ServerKey),
    /// The registration of this server id ended.
    Removed(Arc<str>),
}

/// Load that another router, or the hub of another region, reported.
#[derive(Clone, Copy, Debug)]
struct OtherLoad {
    load: Load,
    valid_until: Time,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its registration, with the newest version of each model's weights seen anywhere.
    pub registration: Registration,
    /// Hash of its id and start time; the same on every router.
    pub instance_hash: u64,
    /// When its registration was last received.
    pub seen_at: Time,
    /// Time until which it gets no requests because it rejected one or failed.
    pub avoid_until: Time,
    /// Time until which it is expected to reject requests because it loads new weights.
    pub switching_until: Time,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time since which it has not responded to this router; none if no response is awaited.
    pub unresponsive_since: Option<Time>,
    /// This router's requests in flight.
    own: Load,
    /// Loads that other routers reported, by the hash of the router's or region's name.
    others: HashMap<u64, OtherLoad>,
    /// When its registration was first found missing, if it is marked missing.
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
            unresponsive_since: None,
            own: Load::default(),
            others: HashMap::new(),
            missing_since: None,
        }
    }

    /// Returns for how long it has not responded to requests, in milliseconds, minus
    /// `PREFILL_SLACK_FACTOR` times the estimated prefill time outstanding for all routers.
    pub fn unresponsive_ms(&self, now: Time) -> u64 {
        let since = self.unresponsive_since;
        let elapsed_ms = since.map_or(0, |since| now.millis_since(since));
        elapsed_ms.saturating_sub(self.load(now).prefill_ms * PREFILL_SLACK_FACTOR)
    }

    /// Returns this router's requests in flight.
    pub fn own_load(&self) -> Load {
        self.own
    }

    /// Returns the requests of all routers in flight, as far as this router knows.
    pub fn load(&self, now: Time) -> Load {
        self.load_with(now, |_| true)
    }

    /// Returns the requests of this router and of the routers for which `counts` is true.
    pub fn load_with<F>(&self, now: Time, counts: F) -> Load
    where
        F: Fn(u64) -> bool,
    {
        let valid = self
            .others
            .iter()
            .filter(|(_, other)| other.valid_until > now);
        let counted = valid.filter(|(router, _)| counts(**router));
        counted.fold(self.own, |sum, (_, other)| Load {
            requests: sum.requests + other.load.requests,
            prefill_ms: sum.prefill_ms + other.load.prefill_ms,
        })
    }

    /// Returns the age of the oldest valid load report of another router, in milliseconds.
    pub fn load_age_ms(&self, now: Time) -> u64 {
        let valid = self.others.values().filter(|other| other.valid_until > now);
        let ages = valid
            .map(|other| OTHER_LOAD_TTL_MS.saturating_sub(other.valid_until.millis_since(now)));
        ages.max().unwrap_or(0)
    }

    /// Records another router's load report.
    pub fn set_other_load(&mut self, now: Time, router: u64, load: Load) {
        let valid_until = now.plus_millis(OTHER_LOAD_TTL_MS);
        self.others.insert(router, OtherLoad { load, valid_until });
    }

    /// Returns the version of its weights of `model`.
    pub fn weights(&self, model: &str) -> Option<u64> {
        self.registration.weights.get(model).copied()
    }

    /// Records a version of its weights if it is newer than the known one, and returns
    /// whether it is. A model that isn't registered is ignored.
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

    /// Records that it is expected to reject requests until `until` while it loads
    /// `version` of a model's weights. Ignored if it already has that version.
    pub fn expect_switch(&mut self, model: &str, version: u64, until: Time) {
        if self.weights(model).is_none_or(|has| has < version) {
            self.switching_until = self.switching_until.max(until);
        }
    }

    /// Returns whether it may get new requests.
    pub fn takes_requests(&self, now: Time) -> bool {
        self.registration.state == ServerState::Ready
            && self.avoid_until <= now
            && self.switching_until <= now
    }
}

/// Place of a backend server in `Fleet`; `generation` grows whenever it is vacated.
#[derive(Clone, Debug, Default)]
struct Slot {
    generation: u32,
    server: Option<BackendServer>,
}

/// All registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    slots: Vec<Slot>,
    by_id: HashMap<Arc<str>, ServerKey>,
    by_instance_hash: HashMap<u64, ServerKey>,
}

impl Fleet {
    /// Applies a registration. Returns what changed, if anything.
    pub fn apply(&mut self, now: Time, registration: Registration) -> Option<FleetChange> {
        let known = self.by_id.get(&registration.id).copied();
        if let Some(key) = known {
            let server = self
                .get_mut(key)
                .expect("the index contains only registered servers");
            if server.registration.started_ms == registration.started_ms {
                return update_registration(now, server, registration)
                    .then_some(FleetChange::Draining(key));
            }
            self.remove(&registration.id);
        }
        Some(FleetChange::Added(self.add(now, registration)))
    }

    /// Removes the registration of server `id`.
    pub fn remove(&mut self, id: &str) -> Option<FleetChange> {
        let key = self.by_id.remove(id)?;
        let slot = &mut self.slots[key.index as usize];
        let server = slot.server.take()?;
        slot.generation += 1;
        self.by_instance_hash.remove(&server.instance_hash);
        Some(FleetChange::Removed(server.registration.id))
    }

    /// Removes the registration of server `id`, unless the store was unreachable until
    /// `outage_until` and the platform may still restore it: then it is only marked missing.
    pub fn remove_or_mark_missing(
        &mut self,
        now: Time,
        id: &str,
        outage_until: Time,
    ) -> Option<FleetChange> {
        if self.is_restore_period_over(now, outage_until) {
            return self.remove(id);
        }
        let key = self.by_id(id)?;
        let server = self
            .get_mut(key)
            .expect("the index contains only registered servers");
        server.missing_since.get_or_insert(now);
        None
    }

    /// Replaces all registrations. Those not in `registrations` are removed or, while the
    /// platform may still restore them after an outage until `outage_until`, marked missing.
    pub fn replace(
        &mut self,
        now: Time,
        registrations: Vec<Registration>,
        outage_until: Time,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let mut present = std::collections::HashSet::new();
        for registration in registrations {
            present.insert(registration.id.clone());
            changes.extend(self.apply(now, registration));
        }
        let is_restore_period_over = self.is_restore_period_over(now, outage_until);
        let ids: Vec<Arc<str>> = self.by_id.keys().cloned().collect();
        for id in ids.into_iter().filter(|id| !present.contains(id)) {
            let key = self.by_id[&id];
            let server = self
                .get_mut(key)
                .expect("the index contains only registered servers");
            server.missing_since.get_or_insert(now);
            if is_restore_period_over {
                changes.extend(self.remove(&id));
            }
        }
        changes
    }

    /// Returns whether the platform has had the time to restore all registrations that
    /// were lost in an outage of the store until `outage_until`.
    pub fn is_restore_period_over(&self, now: Time, outage_until: Time) -> bool {
        now >= outage_until.plus_millis(RESTORE_PERIOD_MS)
    }

    /// Returns whether any registration is marked missing.
    pub fn has_missing(&self) -> bool {
        self.iter()
            .any(|(_, server)| server.missing_since.is_some())
    }

    /// Returns the backend servers that this router announces to others: all but those
    /// whose registration is missing and kept only for a while.
    pub fn registered(&self) -> impl Iterator<Item = &BackendServer> {
        let servers = self.iter().map(|(_, server)| server);
        servers.filter(|server| server.missing_since.is_none())
    }

    /// Returns a hash of all registered incarnations and their states. It is the same on
    /// routers that have read the same registrations.
    pub fn digest(&self) -> u64 {
        let servers = self.registered().map(|server| {
            let state = u64::from(server.registration.state == ServerState::Draining);
            policy::rendezvous_weight(server.instance_hash, state)
        });
        servers.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns a backend server, or `None` if that incarnation is over.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        let slot = self.slots.get(key.index as usize)?;
        slot.server
            .as_ref()
            .filter(|_| slot.generation == key.generation)
    }

    /// Like `get`, for changes.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut BackendServer> {
        let slot = self.slots.get_mut(key.index as usize)?;
        let generation = slot.generation;
        slot.server
            .as_mut()
            .filter(|_| generation == key.generation)
    }

    /// Returns the key of the incarnation with a given `instance_hash`.
    pub fn by_instance_hash(&self, instance_hash: u64) -> Option<ServerKey> {
        self.by_instance_hash.get(&instance_hash).copied()
    }

    /// Returns the key of the current incarnation of server `id`.
    pub fn by_id(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all backend servers, in arbitrary order.
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

    /// Removes another router's load report from the backend servers for whose instance hash
    /// `keep` is false.
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

    /// Counts a request that this router dispatches; `prefill_ms` is its estimated prefill time.
    pub fn begin_request(&mut self, now: Time, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.requests += 1;
            server.own.prefill_ms += prefill_ms;
            server.unresponsive_since.get_or_insert(now);
        }
    }

    /// Subtracts the prefill time of a request to which the backend server has responded, and
    /// restarts the server's time without a response.
    pub fn end_prefill(&mut self, now: Time, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.prefill_ms = server.own.prefill_ms.saturating_sub(prefill_ms);
            server.unresponsive_since = (server.own.requests > 1).then_some(now);
        }
    }

    /// Uncounts a request of this router; `prefill_ms` is the prefill time still counted for it.
    pub fn end_request(&mut self, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.requests = server.own.requests.saturating_sub(1);
            server.own.prefill_ms = server.own.prefill_ms.saturating_sub(prefill_ms);
            if server.own.requests == 0 {
                server.unresponsive_since = None;
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

/// Applies a newer registration of the same incarnation. Returns whether it began to drain.
fn update_registration(
    now: Time,
    server: &mut BackendServer,
    mut registration: Registration,
) -> bool {
    let previous_state = server.registration.state;
    for (model, version) in &server.registration.weights {
        if let Some(reported) = registration.weights.get_mut(model) {
            *reported = (*reported).max(*version);
        }
    }
    if previous_state == ServerState::Draining {
        registration.state = ServerState::Draining;
    }
    server.seen_at = now;
    server.missing_since = None;
    server.registration = registration;
    previous_state == ServerState::Ready && server.registration.state == ServerState::Draining
}
