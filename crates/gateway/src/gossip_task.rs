//! Sends and receives gossip messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use relay::Gossip;
use relay::Naming;
use relay::PartKey;
use relay::ServerKey;
use relay::ToldFleet;
use relay::ToldLoad;
use relay::ToldNaming;
use relay::ToldPart;
use relay::ToldSwitch;
use relay::ToldWeights;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::clock::now;
use crate::cluster_view::Belief;
use crate::cluster_view::Followed;
use crate::context::Context;
use crate::peers::SentPart;
use crate::peers::Switch;
use crate::process_event::failed;
use crate::process_event::failed_with;
use crate::process_event::Step;

/// Longest time between two messages in a full mesh, where each router sends to all others.
const DIRECT_ROUND: Duration = Duration::from_millis(150);

/// Longest time between two messages where routers send through hubs.
const HUB_ROUND: Duration = Duration::from_millis(250);

/// Most prompt parts in one message.
const MAX_PARTS: usize = 60;

/// Most strikes in one message.
const MAX_STRIKES: usize = 60;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16_384;

/// Sends and receives messages until the process ends.
pub async fn run(cx: Rc<Context>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(&cx), Rc::clone(&socket)));
    loop {
        let round = if cx.peers.topology.borrow().is_direct() {
            DIRECT_ROUND
        } else {
            HUB_ROUND
        };
        // An announcement or the timeout: a message is sent in either case.
        let _ = timeout(round, cx.peers.wake.notified()).await;
        let message = compose(&cx);
        cx.peers.forget_old();
        let bytes = match postcard::to_stdvec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                failed(Step::Gossip, &e);
                continue;
            }
        };
        let audience = cx.peers.topology.borrow_mut().audience(now());
        send(&cx, &socket, &audience, &bytes).await;
    }
}

async fn send(cx: &Context, socket: &UdpSocket, audience: &[u64], bytes: &[u8]) {
    for mark in audience {
        let Some(address) = cx.peers.address(*mark) else {
            continue;
        };
        if let Err(e) = socket.send_to(bytes, address).await {
            failed_with(Step::GossipSend, &address, &e);
        }
    }
}

async fn receive(cx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                failed(Step::GossipReceive, &e);
                tokio::time::sleep(DIRECT_ROUND).await;
                continue;
            }
        };
        let bytes = &buf[..len];
        match postcard::from_bytes::<Gossip>(bytes) {
            Ok(message) => {
                take_in(&cx, from, &message);
                let audience = passed_on(&cx, &message);
                send(&cx, &socket, &audience, bytes).await;
            }
            Err(e) => failed_with(Step::GossipRead, &from, &e),
        }
    }
}

/// Returns the routers to which this one forwards another region's message, if it is a hub.
fn passed_on(cx: &Context, message: &Gossip) -> Vec<u64> {
    let mut topology = cx.peers.topology.borrow_mut();
    let foreign = message
        .region
        .is_some_and(|region| region != topology.region());
    if foreign && topology.is_hub(now()) {
        topology.near()
    } else {
        Vec::new()
    }
}

fn take_in(cx: &Context, from: SocketAddr, message: &Gossip) {
    let now = now();
    cx.peers.heard(message.from, message.configuration);
    for told in &message.named {
        let naming = Naming::Ago(told.age_ms);
        cx.adopt_weights(&told.model, told.version, naming, "peer");
    }
    let own_region = message.region == Some(cx.peers.topology.borrow().region());
    let own = cx.peers.told_loads.borrow();
    let mut belief = cx.belief.borrow_mut();
    let belief = &mut *belief;
    message.apply(
        now,
        &mut belief.fleet,
        &mut belief.holdings,
        own_region.then_some(own.as_slice()),
    );
    if let Some(told) = message.fleet {
        let own = cx.peers.address(message.from).unwrap_or(from);
        belief.followed = Some(Followed::new(now, own, told));
    }
    for strike in &message.strikes {
        belief.strikes.add(now, *strike);
    }
    if message.region.is_none() && !cx.peers.topology.borrow().is_direct() {
        repeat(cx, belief, message);
    }
}

/// Adds the announcements of a router in this hub's region to the hub's own.
fn repeat(cx: &Context, belief: &Belief, message: &Gossip) {
    for told in &message.parts {
        if let Some(key) = belief.fleet.by_mark(told.server) {
            cx.peers.tell_part(SentPart {
                part: PartKey(told.part),
                server: key,
                transfer: told.transfer,
            });
        }
    }
    for told in &message.switches {
        if let Some(key) = belief.fleet.by_mark(told.server) {
            let until = now().plus_millis(u64::from(told.for_ms));
            cx.peers.tell_switch(Switch {
                server: key,
                model: told.model.clone(),
                version: told.version,
                until,
            });
        }
    }
    for strike in &message.strikes {
        cx.peers.tell_strike(*strike);
    }
    for told in &message.weights {
        if let Some(key) = belief.fleet.by_mark(told.server) {
            cx.peers.tell_weights(key, &told.model, told.version);
        }
    }
}

fn compose(cx: &Context) -> Gossip {
    let now = now();
    let mut topology = cx.peers.topology.borrow_mut();
    let is_hub = topology.is_hub(now);
    let belief = cx.belief.borrow();
    let fleet = &belief.fleet;
    let mark = |key: ServerKey| fleet.get(key).map(|server| server.mark);
    let loads = fleet.iter().map(|(_, server)| {
        let load = server.load_with(now, |router| is_hub && topology.is_near(router));
        ToldLoad {
            server: server.mark,
            requests: load.requests,
            reading_ms: load.reading_ms,
        }
    });
    let loads: Vec<ToldLoad> = loads.filter(|load| load.requests > 0).collect();
    let parts = cx.peers.parts.borrow();
    let parts = parts.iter().rev().take(MAX_PARTS).filter_map(|recent| {
        let sent = recent.told;
        Some(ToldPart {
            part: sent.part.0,
            server: mark(sent.server)?,
            transfer: sent.transfer,
        })
    });
    let switches = cx.peers.switches.borrow();
    let switches = switches.iter().filter_map(|recent| {
        let switch = &recent.told;
        let for_ms = u32::try_from(switch.until.millis_since(now)).ok()?;
        Some(ToldSwitch {
            server: mark(switch.server)?,
            model: switch.model.clone(),
            version: switch.version,
            for_ms,
        })
    });
    let weights = cx.peers.weights.borrow();
    let weights = weights.iter().filter_map(|recent| {
        let (server, model, version) = &recent.told;
        Some(ToldWeights {
            server: mark(*server)?,
            model: model.clone(),
            version: *version,
        })
    });
    let strikes = cx.peers.strikes.borrow();
    let strikes = strikes.iter().map(|recent| recent.told).take(MAX_STRIKES);
    let named = belief.weights.ages(now);
    let named = named.map(|(model, version, age_ms)| ToldNaming {
        model: model.to_string(),
        version,
        age_ms,
    });
    let told_fleet = belief.read_registrations.map(|read| ToldFleet {
        digest: fleet.digest(),
        as_of: read.as_of,
        age_ms: u32::try_from(now.millis_since(read.read_at)).unwrap_or(u32::MAX),
    });
    *cx.peers.told_loads.borrow_mut() = loads.clone();
    Gossip {
        from: cx.peers.me,
        region: is_hub.then(|| topology.region()),
        configuration: belief.configuration.as_ref().map_or(0, |c| c.version),
        fleet: told_fleet,
        named: named.collect(),
        loads,
        parts: parts.collect(),
        switches: switches.collect(),
        weights: weights.collect(),
        strikes: strikes.collect(),
    }
}
