//! Other routers: who they are, and what they are told.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use relay::Gossip;
use relay::Naming;
use relay::PartKey;
use relay::ServerKey;
use relay::ToldLoad;
use relay::ToldPart;
use relay::ToldSwitch;
use relay::ToldWeights;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::now;
use crate::hub::Hub;

/// Longest time between two messages.
const ROUND: Duration = Duration::from_millis(150);

/// Time after which a router that says nothing counts as gone, in milliseconds.
const HEARD_MS: u64 = 3_000;

/// Time for which a change is repeated in messages, as datagrams get lost, in milliseconds.
const REPEAT_MS: u64 = 450;

/// Parts that one message tells at most.
const MAX_PARTS: usize = 40;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    heard_at: Time,
    configuration: u64,
}

#[derive(Clone, Debug)]
struct Recent<T> {
    at: Time,
    told: T,
}

/// Other routers and what they are to hear.
#[derive(Default)]
pub struct Peers {
    by_mark: RefCell<HashMap<u64, Peer>>,
    parts: RefCell<Vec<Recent<(PartKey, ServerKey)>>>,
    switches: RefCell<Vec<Recent<(ServerKey, Time)>>>,
    weights: RefCell<Vec<Recent<(ServerKey, String, u64)>>>,
    wake: Notify,
    behind_since: Cell<Option<Time>>,
}

impl Peers {
    /// Adds a router, or corrects its address.
    pub fn add(&self, name: &str, address: SocketAddr) {
        let mark = policy::name_hash(name);
        let mut peers = self.by_mark.borrow_mut();
        let peer = peers.entry(mark).or_insert(Peer {
            address,
            heard_at: now(),
            configuration: 0,
        });
        peer.address = address;
    }

    /// Removes a router.
    pub fn remove(&self, name: &str) {
        self.by_mark.borrow_mut().remove(&policy::name_hash(name));
    }

    /// Returns how many other routers were heard lately.
    pub fn live_count(&self) -> usize {
        let now = now();
        let peers = self.by_mark.borrow();
        peers
            .values()
            .filter(|peer| now.millis_since(peer.heard_at) < HEARD_MS)
            .count()
    }

    /// Returns the address of a router whose configuration is newer than `version`.
    pub fn ahead(&self, version: u64) -> Option<SocketAddr> {
        let peers = self.by_mark.borrow();
        let ahead = peers.values().filter(|peer| peer.configuration > version);
        ahead
            .max_by_key(|peer| peer.configuration)
            .map(|peer| peer.address)
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
    pub fn tell_part(&self, part: PartKey, server: ServerKey) {
        let told = (part, server);
        self.parts.borrow_mut().push(Recent { at: now(), told });
    }

    /// Notes an engine that takes new weights until some time; told at once.
    pub fn tell_switch(&self, server: ServerKey, until: Time) {
        let told = (server, until);
        self.switches.borrow_mut().push(Recent { at: now(), told });
        self.wake.notify_one();
    }

    /// Notes weights that an engine was seen to have; told at once.
    pub fn tell_weights(&self, server: ServerKey, model: &str, version: u64) {
        let told = (server, model.to_owned(), version);
        self.weights.borrow_mut().push(Recent { at: now(), told });
        self.wake.notify_one();
    }

    fn forget_old(&self) {
        let now = now();
        let recent = |at: Time| now.millis_since(at) < REPEAT_MS;
        self.parts.borrow_mut().retain(|part| recent(part.at));
        self.switches
            .borrow_mut()
            .retain(|switch| recent(switch.at));
        self.weights
            .borrow_mut()
            .retain(|weights| recent(weights.at));
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.by_mark.borrow().values().map(|p| p.address).collect()
    }
}

/// Sends and receives messages until the process ends.
pub async fn run(hub: Rc<Hub>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(&hub), Rc::clone(&socket)));
    loop {
        // Either a change or the end of the round: both lead to a message.
        let _ = timeout(ROUND, hub.peers.wake.notified()).await;
        let message = compose(&hub);
        hub.peers.forget_old();
        let bytes = match postcard::to_stdvec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("event=gossip_failed reason={:?}", e.to_string());
                continue;
            }
        };
        for address in hub.peers.addresses() {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!(
                    "event=gossip_unsent peer={address} reason={:?}",
                    e.to_string()
                );
            }
        }
    }
}

async fn receive(hub: Rc<Hub>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("event=gossip_receive_failed reason={:?}", e.to_string());
                tokio::time::sleep(ROUND).await;
                continue;
            }
        };
        match postcard::from_bytes::<Gossip>(&buf[..len]) {
            Ok(message) => take_in(&hub, from, &message),
            Err(e) => log::warn!(
                "event=gossip_unreadable peer={from} reason={:?}",
                e.to_string()
            ),
        }
    }
}

fn take_in(hub: &Hub, from: SocketAddr, message: &Gossip) {
    let now = now();
    {
        let mut peers = hub.peers.by_mark.borrow_mut();
        let peer = peers.entry(message.from).or_insert(Peer {
            address: from,
            heard_at: now,
            configuration: 0,
        });
        peer.heard_at = now;
        peer.address = from;
        peer.configuration = message.configuration;
    }
    for (model, version) in &message.named {
        hub.adopt_weights(model, *version, Naming::Fresh, "peer");
    }
    let mut belief = hub.belief.borrow_mut();
    let belief = &mut *belief;
    message.apply(now, &mut belief.fleet, &mut belief.holdings);
}

fn compose(hub: &Hub) -> Gossip {
    let now = now();
    let belief = hub.belief.borrow();
    let fleet = &belief.fleet;
    let mark = |key: ServerKey| fleet.get(key).map(|server| server.mark);
    let loads = fleet.iter().filter(|(_, s)| s.own_load().requests > 0);
    let loads = loads.map(|(_, server)| ToldLoad {
        server: server.mark,
        requests: server.own_load().requests,
        reading_ms: server.own_load().reading_ms,
    });
    let parts = hub.peers.parts.borrow();
    let parts = parts.iter().rev().take(MAX_PARTS).filter_map(|recent| {
        let (part, server) = recent.told;
        Some(ToldPart {
            part: part.0,
            server: mark(server)?,
        })
    });
    let switches = hub.peers.switches.borrow();
    let switches = switches.iter().filter_map(|recent| {
        let (server, until) = recent.told;
        let for_ms = u32::try_from(until.millis_since(now)).ok()?;
        Some(ToldSwitch {
            server: mark(server)?,
            for_ms,
        })
    });
    let weights = hub.peers.weights.borrow();
    let weights = weights.iter().filter_map(|recent| {
        let (server, model, version) = &recent.told;
        Some(ToldWeights {
            server: mark(*server)?,
            model: model.clone(),
            version: *version,
        })
    });
    let named = belief.weights.all();
    Gossip {
        from: policy::name_hash(&hub.settings.name),
        configuration: belief.configuration.as_ref().map_or(0, |c| c.version),
        named: named.map(|(m, v)| (m.to_string(), v)).collect(),
        loads: loads.collect(),
        parts: parts.collect(),
        switches: switches.collect(),
        weights: weights.collect(),
    }
}

impl Peers {
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
}
