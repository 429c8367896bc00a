//! Other routers, and the announcements that the next gossip messages carry.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use policy::Time;
use relay::ConfigurationSource;
use relay::LoadUpdate;
use relay::ServerKey;
use relay::Topology;
use tokio::sync::Notify;

use crate::announced::Announced;
use crate::clock::now;
use crate::router_entry::RouterEntry;
pub use crate::sent_part::SentPart;
pub use crate::weights_switch::WeightsSwitch;

/// Time without a message after which a router no longer counts as reachable, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 3_000;

/// Time without a message after which a router is given nothing to do for others, in milliseconds.
const REACHABLE_MS: u64 = 900;

/// Time for which an unregistered router gets messages after it sent one, in milliseconds.
const UNREGISTERED_MS: u64 = 1_000;

/// Maximum number of unregistered routers that get messages.
const MAX_UNREGISTERED: usize = 64;

#[derive(Clone, Debug)]
struct Peer {
    entry: RouterEntry,
    /// When it last sent a message; when it was added before the first.
    last_message_at: Time,
    /// Version of its configuration, 0 while unknown.
    configuration: u64,
    /// Whether it has read which other routers there are.
    knows_routers: bool,
}

/// A router that sends messages but isn't registered, as its lease expired while it was cut off
/// from the store. It gets messages too, so that it knows what the others know.
#[derive(Clone, Copy, Debug)]
struct UnregisteredPeer {
    address: SocketAddr,
    valid_until: Time,
}

/// Other routers, and what is to be announced to them.
pub struct Peers {
    /// Hash of this router's name.
    pub own_hash: u64,
    /// Decides with which routers this one exchanges messages.
    pub topology: RefCell<Topology>,
    /// Prompt parts that were sent to engines.
    pub parts: RefCell<Vec<Announced<SentPart>>>,
    /// Engines that switch to new weights.
    pub switches: RefCell<Vec<Announced<WeightsSwitch>>>,
    /// Weights that engines reported: engine, model and version.
    pub weights: RefCell<Vec<Announced<(ServerKey, String, u64)>>>,
    /// Instance hashes of incarnations of backend servers that are over.
    pub ended: RefCell<Vec<Announced<u64>>>,
    /// Loads in this router's latest message.
    pub sent_loads: RefCell<Vec<LoadUpdate>>,
    /// Wakes the gossip task, so that it sends a message at once.
    pub wake: Notify,
    own_entry: RouterEntry,
    by_hash: RefCell<HashMap<u64, Peer>>,
    unregistered: RefCell<HashMap<u64, UnregisteredPeer>>,
}

impl Peers {
    /// Returns the state of a router that knows no other; `own_entry` is its own.
    pub fn new(own_entry: RouterEntry) -> Peers {
        let own_hash = own_entry.hash();
        Peers {
            own_hash,
            topology: RefCell::new(Topology::new(own_hash, own_entry.member)),
            own_entry,
            parts: RefCell::default(),
            switches: RefCell::default(),
            weights: RefCell::default(),
            ended: RefCell::default(),
            sent_loads: RefCell::default(),
            wake: Notify::new(),
            by_hash: RefCell::default(),
            unregistered: RefCell::default(),
        }
    }

    /// Adds a router, or updates its address. Returns whether that is new.
    pub fn add(&self, entry: RouterEntry) -> bool {
        let hash = entry.hash();
        if hash == self.own_hash {
            return false;
        }
        let mut peers = self.by_hash.borrow_mut();
        let peer = peers.get(&hash);
        if peer.is_some_and(|peer| peer.entry == entry) {
            return false;
        }
        self.topology.borrow_mut().add(hash, entry.member);
        let peer = Peer {
            last_message_at: peer.map_or(now(), |peer| peer.last_message_at),
            configuration: peer.map_or(0, |peer| peer.configuration),
            knows_routers: peer.is_some_and(|peer| peer.knows_routers),
            entry,
        };
        peers.insert(hash, peer);
        true
    }

    /// Removes a router.
    pub fn remove(&self, name: &str) {
        let hash = policy::name_hash(name);
        self.by_hash.borrow_mut().remove(&hash);
        self.topology.borrow_mut().remove(hash);
    }

    /// Returns the names of the other routers.
    pub fn names(&self) -> Vec<String> {
        let peers = self.by_hash.borrow();
        let names = peers.values().map(|peer| &peer.entry.name);
        names.cloned().collect()
    }

    /// Returns the entries of all routers, including this one.
    pub fn entries(&self) -> Vec<RouterEntry> {
        let peers = self.by_hash.borrow();
        let others = peers.values().map(|peer| peer.entry.clone());
        others.chain([self.own_entry.clone()]).collect()
    }

    /// Returns a hash of all routers and their addresses, including this one. It is the same
    /// on routers that know the same ones.
    pub fn digest(&self) -> u64 {
        let peers = self.by_hash.borrow();
        let others = peers.values().map(|peer| peer.entry.digest());
        others.fold(self.own_entry.digest(), |digest, entry| digest ^ entry)
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self) -> usize {
        self.topology.borrow().count()
    }

    /// Records that a router sent a message, with the version of its configuration, and whether it
    /// has read which other routers there are.
    pub fn on_message(&self, hash: u64, configuration: u64, knows_routers: bool) {
        let now = now();
        self.topology.borrow_mut().record_message(now, hash);
        if let Some(peer) = self.by_hash.borrow_mut().get_mut(&hash) {
            peer.last_message_at = now;
            peer.configuration = configuration;
            peer.knows_routers = knows_routers;
        }
    }

    /// Records that a message of a router came from `address`, if that router isn't registered.
    pub fn record_unregistered(&self, hash: u64, address: SocketAddr) {
        let now = now();
        let mut unregistered = self.unregistered.borrow_mut();
        unregistered.retain(|_, peer| peer.valid_until > now);
        let is_registered = self.by_hash.borrow().contains_key(&hash);
        if !is_registered && hash != self.own_hash && unregistered.len() < MAX_UNREGISTERED {
            let valid_until = now.plus_millis(UNREGISTERED_MS);
            unregistered.insert(
                hash,
                UnregisteredPeer {
                    address,
                    valid_until,
                },
            );
        }
    }

    /// Returns the addresses of the unregistered routers that sent a message lately.
    pub fn unregistered(&self) -> Vec<SocketAddr> {
        let now = now();
        let unregistered = self.unregistered.borrow();
        let recent = unregistered.values().filter(|peer| peer.valid_until > now);
        recent.map(|peer| peer.address).collect()
    }

    /// Returns the address of a router.
    pub fn address(&self, hash: u64) -> Option<SocketAddr> {
        let peers = self.by_hash.borrow();
        peers.get(&hash).map(|peer| peer.entry.address)
    }

    /// Returns the name of a router, or its hash if it isn't known.
    pub fn name(&self, hash: u64) -> String {
        let peers = self.by_hash.borrow();
        let name = match peers.get(&hash) {
            Some(peer) => Some(&peer.entry.name),
            None if hash == self.own_hash => Some(&self.own_entry.name),
            None => None,
        };
        name.cloned().unwrap_or_else(|| format!("{hash:016x}"))
    }

    /// Returns the addresses of routers; those that are not known are left out.
    pub fn addresses(&self, hashes: &[u64]) -> Vec<SocketAddr> {
        let known = hashes.iter().filter_map(|hash| self.address(*hash));
        known.collect()
    }

    /// Returns the other routers with the configurations that they have announced.
    pub fn configuration_sources(&self) -> Vec<ConfigurationSource> {
        let region = self.own_entry.member.region;
        let peers = self.by_hash.borrow();
        let sources = peers.iter().map(|(hash, peer)| ConfigurationSource {
            router: *hash,
            version: peer.configuration,
            last_message_at: peer.last_message_at,
            is_in_region: peer.entry.member.region == region,
        });
        sources.collect()
    }

    /// Returns the newest version of the configuration that another router has announced; 0 if
    /// none has.
    pub fn newest_configuration(&self) -> u64 {
        let peers = self.by_hash.borrow();
        let versions = peers.values().map(|peer| peer.configuration);
        versions.max().unwrap_or(0)
    }

    /// Returns the address of a router that was added or sent a message recently; `seed`
    /// selects which.
    pub fn any_reachable(&self, seed: u64) -> Option<SocketAddr> {
        let now = now();
        let peers = self.by_hash.borrow();
        let live = peers
            .iter()
            .filter(|(_, peer)| now.millis_since(peer.last_message_at) < PEER_TIMEOUT_MS);
        live.min_by_key(|(hash, _)| policy::rendezvous_weight(seed, **hash))
            .map(|(_, peer)| peer.entry.address)
    }

    /// Returns whether another router runs on the VM with this address.
    pub fn is_router_at(&self, address: IpAddr) -> bool {
        let peers = self.by_hash.borrow();
        peers
            .values()
            .any(|peer| peer.entry.address.ip() == address)
    }

    /// Returns up to `count` other routers for which `may_ask` is true, in a full mesh only those
    /// that are reachable: those of this router's region first, otherwise in an order by `seed`.
    pub fn helpers<F>(&self, seed: u64, count: usize, may_ask: F) -> Vec<u64>
    where
        F: Fn(u64) -> bool,
    {
        let topology = self.topology.borrow();
        let is_full_mesh = topology.is_full_mesh();
        let peers = self.by_hash.borrow();
        let routers = peers.keys().copied().filter(|router| may_ask(*router));
        let mut usable: Vec<u64> = routers
            .filter(|router| !is_full_mesh || self.is_reachable(*router))
            .collect();
        usable.sort_by_cached_key(|router| {
            let weight = policy::rendezvous_weight(seed, *router);
            (Reverse(topology.is_in_region(*router)), weight)
        });
        usable.truncate(count);
        usable
    }

    /// Returns the router that issues permits for a backend server, by its instance hash and the
    /// hash of its region.
    pub fn permit_issuer(&self, region: u64, server: u64) -> u64 {
        let mut topology = self.topology.borrow_mut();
        topology.permit_issuer(now(), region, server, |hash| {
            self.is_reachable(hash) && self.knows_routers(hash)
        })
    }

    /// Returns up to `count` other routers to which something is entrusted, by its hash: in a full
    /// mesh only those that are reachable.
    pub fn keepers(&self, hash: u64, count: usize) -> Vec<u64> {
        let topology = self.topology.borrow();
        let is_full_mesh = topology.is_full_mesh();
        topology.keepers(hash, count, |router| {
            !is_full_mesh || self.is_reachable(router)
        })
    }

    /// Returns up to `count` registered routers that may have been entrusted with something, by its
    /// hash: those that other routers choose, and the next ones.
    pub fn registered_keepers(&self, hash: u64, count: usize) -> Vec<u64> {
        self.topology.borrow().keepers(hash, count, |_| true)
    }

    /// Returns whether a router has read which others there are, without which it issues no permits.
    fn knows_routers(&self, hash: u64) -> bool {
        let peers = self.by_hash.borrow();
        peers.get(&hash).is_some_and(|peer| peer.knows_routers)
    }

    /// Returns whether a router sent a message lately.
    fn is_reachable(&self, hash: u64) -> bool {
        let peers = self.by_hash.borrow();
        let peer = peers.get(&hash);
        peer.is_some_and(|peer| now().millis_since(peer.last_message_at) < REACHABLE_MS)
    }
}
