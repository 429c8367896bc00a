//! Other routers, and the announcements that the next gossip messages carry.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use policy::Time;
use relay::Member;
use relay::PartKey;
use relay::ServerKey;
use relay::Strike;
use relay::ToldLoad;
use relay::Topology;
use relay::Transfer;
use tokio::sync::Notify;

use crate::clock::now;

/// Time without a message after which a router is not used as a source, in milliseconds.
const HEARD_MS: u64 = 3_000;

/// Time for which an announcement is repeated in messages, as datagrams get lost, in milliseconds.
const REPEAT_MS: u64 = 600;

/// Time by which a switch must last longer than announced to be announced again, in milliseconds.
const SWITCH_STEP_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    heard_at: Time,
    configuration: u64,
}

/// An announcement that is repeated in messages for a while.
#[derive(Clone, Debug)]
pub struct Recent<T> {
    at: Time,
    /// What is announced.
    pub told: T,
}

/// A prompt part that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPart {
    /// Key of the part.
    pub part: PartKey,
    /// Engine that receives or loads it.
    pub server: ServerKey,
    /// Transfer of the part to or from a store that goes on meanwhile.
    pub transfer: Option<Transfer>,
}

/// An engine that switches to new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Switch {
    /// Engine that receives or loads it.
    pub server: ServerKey,
    /// Name of the model.
    pub model: String,
    /// Version that it loads.
    pub version: u64,
    /// Expected end of the switch; until then the engine rejects requests.
    pub until: Time,
}

/// Other routers, and what is to be announced to them.
pub struct Peers {
    /// Hash of this router's name.
    pub me: u64,
    /// Decides with which routers this one exchanges messages.
    pub topology: RefCell<Topology>,
    /// Prompt parts that were sent to engines.
    pub parts: RefCell<Vec<Recent<SentPart>>>,
    /// Engines that switch to new weights.
    pub switches: RefCell<Vec<Recent<Switch>>>,
    /// Weights that engines reported: engine, model and version.
    pub weights: RefCell<Vec<Recent<(ServerKey, String, u64)>>>,
    /// Strikes against requests that were in flight on failed backend servers.
    pub strikes: RefCell<Vec<Recent<Strike>>>,
    /// Loads in this router's latest message.
    pub told_loads: RefCell<Vec<ToldLoad>>,
    /// Wakes the gossip task, so that it sends a message at once.
    pub wake: Notify,
    by_mark: RefCell<HashMap<u64, Peer>>,
    behind_since: Cell<Option<Time>>,
}

impl Peers {
    /// Returns the state of a router that knows no other; `name` is its own.
    pub fn new(name: &str, member: Member) -> Peers {
        let me = policy::name_hash(name);
        Peers {
            me,
            topology: RefCell::new(Topology::new(me, member)),
            parts: RefCell::default(),
            switches: RefCell::default(),
            weights: RefCell::default(),
            strikes: RefCell::default(),
            told_loads: RefCell::default(),
            wake: Notify::new(),
            by_mark: RefCell::default(),
            behind_since: Cell::default(),
        }
    }

    /// Adds a router, or updates its address.
    pub fn add(&self, name: &str, address: SocketAddr, member: Member) {
        let mark = policy::name_hash(name);
        let mut peers = self.by_mark.borrow_mut();
        let peer = peers.entry(mark).or_insert_with(|| Peer {
            name: name.to_owned(),
            address,
            heard_at: now(),
            configuration: 0,
        });
        peer.address = address;
        self.topology.borrow_mut().add(mark, member);
    }

    /// Removes a router.
    pub fn remove(&self, name: &str) {
        let mark = policy::name_hash(name);
        self.by_mark.borrow_mut().remove(&mark);
        self.topology.borrow_mut().remove(mark);
    }

    /// Returns the names of the other routers.
    pub fn names(&self) -> Vec<String> {
        let peers = self.by_mark.borrow();
        peers.values().map(|peer| peer.name.clone()).collect()
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self) -> usize {
        self.topology.borrow().count()
    }

    /// Records that a router sent a message, with the version of its configuration.
    pub fn heard(&self, mark: u64, configuration: u64) {
        let now = now();
        self.topology.borrow_mut().heard(now, mark);
        if let Some(peer) = self.by_mark.borrow_mut().get_mut(&mark) {
            peer.heard_at = now;
            peer.configuration = configuration;
        }
    }

    /// Returns the address of a router.
    pub fn address(&self, mark: u64) -> Option<SocketAddr> {
        self.by_mark.borrow().get(&mark).map(|peer| peer.address)
    }

    /// Returns the address of the router with the newest configuration, if that is newer
    /// than `version`.
    pub fn ahead(&self, version: u64) -> Option<SocketAddr> {
        let peers = self.by_mark.borrow();
        let ahead = peers.values().filter(|peer| peer.configuration > version);
        ahead
            .max_by_key(|peer| peer.configuration)
            .map(|peer| peer.address)
    }

    /// Returns whether another router has had a configuration newer than `version` for
    /// at least `for_ms` milliseconds.
    pub fn is_behind(&self, version: u64, for_ms: u64) -> bool {
        if self.ahead(version).is_none() {
            self.behind_since.set(None);
            return false;
        }
        let now = now();
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        now.millis_since(since) >= for_ms
    }

    /// Returns the address of a router that sent a message recently; `seed` selects which.
    pub fn any_live(&self, seed: u64) -> Option<SocketAddr> {
        let now = now();
        let peers = self.by_mark.borrow();
        let live = peers
            .iter()
            .filter(|(_, peer)| now.millis_since(peer.heard_at) < HEARD_MS);
        live.min_by_key(|(mark, _)| policy::rendezvous_weight(seed, **mark))
            .map(|(_, peer)| peer.address)
    }

    /// Announces a prompt part that was sent to an engine, in the next regular message.
    pub fn tell_part(&self, sent: SentPart) {
        tell(&self.parts, sent);
    }

    /// Announces, at once if it is new, that an engine switches to new weights.
    pub fn tell_switch(&self, switch: Switch) {
        let mut switches = self.switches.borrow_mut();
        // The end of the same switch varies with the delay of the message that reported it.
        let is_known = |known: &Switch| {
            known.server == switch.server
                && known.version >= switch.version
                && known.until.plus_millis(SWITCH_STEP_MS) > switch.until
        };
        if switches.iter().any(|recent| is_known(&recent.told)) {
            return;
        }
        switches.retain(|recent| recent.told.server != switch.server);
        let told = switch;
        switches.push(Recent { at: now(), told });
        self.wake.notify_one();
    }

    /// Announces, at once if they are new, the weights that an engine reported.
    pub fn tell_weights(&self, server: ServerKey, model: &str, version: u64) {
        if tell(&self.weights, (server, model.to_owned(), version)) {
            self.wake.notify_one();
        }
    }

    /// Announces a strike, at once if it is new.
    pub fn tell_strike(&self, strike: Strike) {
        if tell(&self.strikes, strike) {
            self.wake.notify_one();
        }
    }

    /// Removes announcements that were repeated long enough.
    pub fn forget_old(&self) {
        let now = now();
        let recent = |at: Time| now.millis_since(at) < REPEAT_MS;
        self.parts.borrow_mut().retain(|part| recent(part.at));
        self.switches
            .borrow_mut()
            .retain(|switch| recent(switch.at));
        self.weights
            .borrow_mut()
            .retain(|weights| recent(weights.at));
        self.strikes.borrow_mut().retain(|strike| recent(strike.at));
    }
}

/// Adds an announcement unless it is already in the list; returns whether it was added.
fn tell<T>(list: &RefCell<Vec<Recent<T>>>, told: T) -> bool
where
    T: PartialEq,
{
    let mut list = list.borrow_mut();
    if list.iter().any(|recent| recent.told == told) {
        return false;
    }
    list.push(Recent { at: now(), told });
    true
}
