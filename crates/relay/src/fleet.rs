//! Backend servers, their incarnations, and what this router knows about each.

use std::collections::HashMap;
use std::sync::Arc;

use policy::Time;

use crate::backend_server::instance_hash;
use crate::fleet_pace::PaceLearning;
use crate::reading::restored_by;
use crate::removed_servers::RemovedServers;
use crate::reporters::Reporters;
use crate::store_interruption::LAPSE_HEARTBEATS;
use crate::BackendServer;
use crate::Build;
use crate::Reading;
use crate::Registration;
use crate::ServerState;
use crate::ServerStatement;

/// Time after an outage of the store in which servers may be registered that have ended, in
/// milliseconds.
const AFTER_OUTAGE_MS: u64 = 6_000;

/// Key of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    index: u32,
    generation: u32,
}

/// Change to the set of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// An incarnation was registered that was not known.
    Added(ServerKey),
    /// A known incarnation began to drain.
    Draining(ServerKey),
    /// The registration is missing, and kept because the platform may restore it.
    Missing(ServerKey),
    /// The registration of this server id ended.
    Removed(Arc<str>),
    /// The registration was renewed after the incarnation seemed to be over, so that it isn't.
    Renewed(ServerKey),
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
    /// Up to where the registrations were read; none before the first list.
    reading: Option<Reading>,
    /// Interval at which servers renew their registrations, in milliseconds.
    pub(crate) heartbeat_ms: u64,
    /// Incarnations whose registrations ended lately.
    removed: RemovedServers,
    /// Time until which registrations of removed incarnations are ignored, as the store has come
    /// back from a copy that may hold them.
    ignores_removed_until: Time,
    /// Whether and when paces are learned.
    pub(crate) pace_learning: PaceLearning,
    /// Whose loads the reports of other routers count.
    pub(crate) reporters: Reporters,
}

impl Fleet {
    /// Returns an empty fleet whose servers renew their registrations each `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Fleet {
        Fleet {
            heartbeat_ms,
            ..Fleet::default()
        }
    }

    /// Returns up to where and when the registrations were read; none before the first list.
    pub fn reading(&self) -> Option<Reading> {
        self.reading
    }

    /// Records that the registrations are those up to `reading`, after the changes since the
    /// last one were applied. Ignored if it is older than what is known. Returns which servers
    /// count as running again.
    pub fn advance(&mut self, reading: Reading) -> Vec<FleetChange> {
        if self.is_newer_than(reading) {
            return Vec::new();
        }
        // Shortest outage of the store in which a live server's registration may lapse.
        let lapse_ms = self.heartbeat_ms * LAPSE_HEARTBEATS;
        let reading = match self.reading {
            Some(earlier) => reading.joined_to(earlier, lapse_ms),
            None => reading,
        };
        let known = self.reading.replace(reading);
        if known.is_some_and(|known| known.as_of.era < reading.as_of.era) {
            self.ignores_removed_until = reading.restored_by();
        }
        self.clear_refuted_ends(reading)
    }

    /// Returns whether the registrations were read up to a later revision than `reading`.
    pub fn is_newer_than(&self, reading: Reading) -> bool {
        self.reading
            .is_some_and(|known| known.as_of > reading.as_of)
    }

    /// Applies a registration. Returns what changed, if anything.
    pub fn apply(&mut self, now: Time, registration: Registration) -> Option<FleetChange> {
        if self.is_from_copy(now, &registration) {
            return None;
        }
        let known = self.by_id.get(&registration.id).copied();
        if let Some(key) = known {
            let server = self
                .get_mut(key)
                .expect("the index contains only registered servers");
            if server.registration.started_ms == registration.started_ms {
                return server
                    .update_registration(now, registration)
                    .then_some(FleetChange::Draining(key));
            }
            self.remove(now, &registration.id);
        }
        Some(FleetChange::Added(self.add(now, registration)))
    }

    /// Removes the registration of server `id`.
    pub fn remove(&mut self, now: Time, id: &str) -> Option<FleetChange> {
        let key = self.by_id.remove(id)?;
        let slot = &mut self.slots[key.index as usize];
        let server = slot.server.take()?;
        slot.generation += 1;
        self.by_instance_hash.remove(&server.instance_hash);
        self.removed.record(now, &server);
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
        if restored_by(outage_until) <= now {
            return self.remove(now, id);
        }
        let key = self.by_id(id)?;
        self.mark_missing(now, key)
    }

    /// Replaces all registrations by those of `reading`, unless what is known is newer. Those not
    /// in `registrations` are removed or, while the platform may still restore them after the
    /// outage that the reader saw, marked missing.
    pub fn replace(
        &mut self,
        now: Time,
        registrations: Vec<Registration>,
        reading: Reading,
    ) -> Vec<FleetChange> {
        if self.is_newer_than(reading) {
            return Vec::new();
        }
        let mut changes = self.advance(reading);
        let mut present = std::collections::HashSet::new();
        for registration in registrations {
            present.insert(registration.id.clone());
            changes.extend(self.apply(now, registration));
        }
        let is_restore_period_over = self.reading.is_some_and(|r| r.restored_by() <= now);
        let ids: Vec<Arc<str>> = self.by_id.keys().cloned().collect();
        for id in ids.into_iter().filter(|id| !present.contains(id)) {
            let change = if is_restore_period_over {
                self.remove(now, &id)
            } else {
                self.mark_missing(now, self.by_id[&id])
            };
            changes.extend(change);
        }
        changes
    }

    /// Returns whether any registration is marked missing.
    pub fn has_missing(&self) -> bool {
        self.iter()
            .any(|(_, server)| server.missing_since.is_some())
    }

    /// Returns whether registrations are marked missing that the platform would have restored
    /// by now, so that a new list decides about them.
    pub fn is_list_due(&self, now: Time) -> bool {
        let restored_by = self.reading.map(|reading| reading.restored_by());
        restored_by.is_some_and(|at| at <= now) && self.has_missing()
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

    /// Returns whether the incarnation with a given `instance_hash` is still registered, by a
    /// reading that is fresh and long enough after an outage of the store.
    pub fn is_registered(&self, now: Time, instance_hash: u64) -> bool {
        let is_reliable = self.reading.is_some_and(|reading| {
            reading.is_fresh(now)
                && now.millis_since(reading.outage_possible_until()) > AFTER_OUTAGE_MS
        });
        let key = self.by_instance_hash(instance_hash);
        let server = key.and_then(|key| self.get(key));
        is_reliable && server.is_some_and(|s| !s.is_over() && s.missing_since.is_none())
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

    /// Returns the builds of a service's servers, of those too whose registrations ended lately.
    pub fn builds(&self, now: Time, service: &str) -> Vec<Build> {
        let present = self.of_service(service).map(|(_, server)| server.build);
        let removed = self.removed.builds(now, service);
        let mut builds: Vec<Build> = present.chain(removed).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    /// Removes another router's report from the backend servers for whose instance hash
    /// `keep` is false.
    pub fn clear_other_reports<F>(&mut self, router: u64, keep: F)
    where
        F: Fn(u64) -> bool,
    {
        let servers = self.servers_mut();
        for server in servers.filter(|server| !keep(server.instance_hash)) {
            server.clear_other_report(router);
        }
    }

    /// Returns the number of routers whose loads are counted, this one and those for which `counts`
    /// is true.
    pub fn counted_routers<F>(&self, now: Time, counts: F) -> u32
    where
        F: Fn(u64) -> bool,
    {
        1 + self.reporters.counted(now, counts).unwrap_or(0)
    }

    /// Returns whether a registration is that of an incarnation that was removed, and may stand
    /// in the store only because it came back from an older copy.
    fn is_from_copy(&self, now: Time, registration: &Registration) -> bool {
        now < self.ignores_removed_until && self.removed.contains(now, instance_hash(registration))
    }

    /// Marks a registration missing. Returns the change if it was not marked before.
    fn mark_missing(&mut self, now: Time, key: ServerKey) -> Option<FleetChange> {
        let server = self.get_mut(key)?;
        let is_new = server.missing_since.is_none();
        server.missing_since.get_or_insert(now);
        is_new.then_some(FleetChange::Missing(key))
    }

    /// Records that an incarnation has said in a response that it leaves. Returns whether that is
    /// new, and not known by its registration either.
    pub fn mark_leaving(&mut self, key: ServerKey) -> bool {
        let Some(server) = self.get_mut(key) else {
            return false;
        };
        let is_new = server.is_ready();
        server.says_leaving = true;
        is_new
    }

    /// Returns what servers have said of themselves that other routers are to know.
    pub fn statements(&self, now: Time) -> impl Iterator<Item = ServerStatement> + '_ {
        self.iter()
            .filter_map(move |(_, server)| server.statement(now))
    }

    /// Returns all backend servers, for changes.
    pub(crate) fn servers_mut(&mut self) -> impl Iterator<Item = &mut BackendServer> {
        let servers = self.slots.iter_mut();
        servers.filter_map(|slot| slot.server.as_mut())
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
        let mut server = BackendServer::new(now, registration);
        self.removed.restore(&mut server);
        self.by_id.insert(server.registration.id.clone(), key);
        self.by_instance_hash.insert(server.instance_hash, key);
        slot.server = Some(server);
        self.mark_replaced(now, key);
        key
    }
}
