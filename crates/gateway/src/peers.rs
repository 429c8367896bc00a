//! Other routers: who they are, and what they are to hear next.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use policy::Time;
use relay::LoadUpdate;
use relay::Member;
use relay::PartKey;
use relay::ServerKey;
use relay::Strike;
use relay::Topology;
use relay::Transfer;
use tokio::sync::Notify;

use crate::clock::now;

/// Time after which a router that says nothing counts as gone, in milliseconds.
const HEARD_MS: u64 = 3_000;

/// Time for which a change is repeated in messages, as datagrams get lost, in milliseconds.
const REPEAT_MS: u64 = 600;

/// Time by which a switch must last longer than was told to be news, in milliseconds.
const SWITCH_STEP_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    heard_at: Time,
    configuration: u64,
}

/// Something that is told for a while.
#[derive(Clone, Debug)]
pub struct Recent<T> {
    at: Time,
    /// What is told.
    pub told: T,
}

/// A part that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPart {
    /// Part.
    pub part: PartKey,
    /// Engine.
    pub server: ServerKey,
    /// What happens to it at a store meanwhile.
    pub transfer: Option<Transfer>,
}

/// An engine that takes new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Switch {
    /// Engine.
    pub server: ServerKey,
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
    /// Until when it is expected to turn requests away.
    pub until: Time,
}

/// Other routers and what they are to hear.
pub struct Peers {
    /// Hash of this router's name.
    pub me: u64,
    /// Whom this router speaks to.
    pub topology: RefCell<Topology>,
    /// Parts that were sent to engines.
    pub parts: RefCell<Vec<Recent<SentPart>>>,
    /// Engines that take new weights.
    pub switches: RefCell<Vec<Recent<Switch>>>,
    /// Weights that engines were seen to have.
    pub weights: RefCell<Vec<Recent<(ServerKey, String, u64)>>>,
    /// Requests that ran on backend servers which broke off.
    pub strikes: RefCell<Vec<Recent<Strike>>>,
    /// This router's loads as it last told them.
    pub told_loads: RefCell<Vec<LoadUpdate>>,
    /// Wakes the task that sends messages.
    pub wake: Notify,
    by_mark: RefCell<HashMap<u64, Peer>>,
    behind_since: Cell<Option<Time>>,
}

impl Peers {
    /// Begins with this router alone.
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

    /// Adds a router, or corrects its address.
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

    /// Notes a message of a router.
    pub fn heard(&self, mark: u64, configuration: u64) {
        let now = now();
        self.topology.borrow_mut().record_message(now, mark);
        if let Some(peer) = self.by_mark.borrow_mut().get_mut(&mark) {
            peer.heard_at = now;
            peer.configuration = configuration;
        }
    }

    /// Returns the address of a router.
    pub fn address(&self, mark: u64) -> Option<SocketAddr> {
        self.by_mark.borrow().get(&mark).map(|peer| peer.address)
    }

    /// Returns the address of a router whose configuration is newer than `version`.
    pub fn ahead(&self, version: u64) -> Option<SocketAddr> {
        let peers = self.by_mark.borrow();
        let ahead = peers.values().filter(|peer| peer.configuration > version);
        ahead
            .max_by_key(|peer| peer.configuration)
            .map(|peer| peer.address)
    }

    /// Tells whether another router has had a newer configuration for some time.
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

    /// Returns the address of a router that was heard lately.
    pub fn any_live(&self, seed: u64) -> Option<SocketAddr> {
        let now = now();
        let peers = self.by_mark.borrow();
        let live = peers
            .iter()
            .filter(|(_, peer)| now.millis_since(peer.heard_at) < HEARD_MS);
        live.min_by_key(|(mark, _)| policy::rendezvous_weight(seed, **mark))
            .map(|(_, peer)| peer.address)
    }

    /// Notes a part that was sent to an engine.
    pub fn tell_part(&self, sent: SentPart) {
        tell(&self.parts, sent);
    }

    /// Notes an engine that takes new weights; told at once if it is news.
    pub fn tell_switch(&self, switch: Switch) {
        let mut switches = self.switches.borrow_mut();
        // The end of one switch differs by the way that the news took.
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

    /// Notes weights that an engine was seen to have; told at once.
    pub fn tell_weights(&self, server: ServerKey, model: &str, version: u64) {
        if tell(&self.weights, (server, model.to_owned(), version)) {
            self.wake.notify_one();
        }
    }

    /// Notes a strike; told at once.
    pub fn tell_strike(&self, strike: Strike) {
        if tell(&self.strikes, strike) {
            self.wake.notify_one();
        }
    }

    /// Forgets what was told often enough.
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

/// Adds something to what is told; tells whether it is not told already.
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
