//! Sends and receives gossip messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use relay::Announcement;
use relay::AnnouncementUpdate;
use relay::FleetUpdate;
use relay::Gossip;
use relay::LoadUpdate;
use relay::PartKey;
use relay::PartUpdate;
use relay::ServerKey;
use relay::SwitchUpdate;
use relay::WeightsUpdate;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::cluster_view::PeerSync;
use crate::context::Context;
use crate::peers::SentPart;
use crate::peers::WeightsSwitch;
use crate::process_event::log_failure;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;

/// Longest time between two messages in a full mesh, where each router sends to all others.
const FULL_MESH_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time between two messages where routers send through hubs.
const HUB_INTERVAL: Duration = Duration::from_millis(250);

/// Most prompt parts in one message.
const MAX_PARTS: usize = 60;

/// Most strikes in one message.
const MAX_STRIKES: usize = 60;

/// Largest message that can be received, in bytes.
const MAX_MESSAGE_BYTES: usize = 16_384;

/// Sends and receives messages until the process ends.
pub async fn run(cx: Rc<Context>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(&cx), Rc::clone(&socket)));
    loop {
        let interval = if cx.peers.topology.borrow().is_full_mesh() {
            FULL_MESH_INTERVAL
        } else {
            HUB_INTERVAL
        };
        // An announcement or the timeout: a message is sent in either case.
        let _ = timeout(interval, cx.peers.wake.notified()).await;
        let message = build_message(&cx);
        cx.peers.remove_expired();
        let bytes = match postcard::to_stdvec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log_failure(Step::Gossip, &e);
                continue;
            }
        };
        let recipients = cx.peers.topology.borrow_mut().recipients(now());
        send(&cx, &socket, &recipients, &bytes).await;
    }
}

async fn send(cx: &Context, socket: &UdpSocket, recipients: &[u64], bytes: &[u8]) {
    for hash in recipients {
        let Some(address) = cx.peers.address(*hash) else {
            continue;
        };
        if let Err(e) = socket.send_to(bytes, address).await {
            log_peer_failure(Step::GossipSend, &address, &e);
        }
    }
}

async fn receive(cx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log_failure(Step::GossipReceive, &e);
                tokio::time::sleep(FULL_MESH_INTERVAL).await;
                continue;
            }
        };
        let bytes = &buf[..len];
        match postcard::from_bytes::<Gossip>(bytes) {
            Ok(message) => {
                apply(&cx, from, &message);
                let recipients = forward_recipients(&cx, &message);
                send(&cx, &socket, &recipients, bytes).await;
            }
            Err(e) => log_peer_failure(Step::GossipRead, &from, &e),
        }
    }
}

/// Returns the routers to which this one forwards another region's message, if it is a hub.
fn forward_recipients(cx: &Context, message: &Gossip) -> Vec<u64> {
    let mut topology = cx.peers.topology.borrow_mut();
    let is_foreign = message
        .region
        .is_some_and(|region| region != topology.region());
    if is_foreign && topology.is_hub(now()) {
        topology.region_peers()
    } else {
        Vec::new()
    }
}

fn apply(cx: &Context, from: SocketAddr, message: &Gossip) {
    let now = now();
    cx.peers.on_message(message.from, message.configuration);
    for update in &message.named {
        let announcement = Announcement::Ago(update.age_ms);
        cx.apply_announced_weights(&update.model, update.version, announcement, "peer");
    }
    let own_region = message.region == Some(cx.peers.topology.borrow().region());
    let own_loads = cx.peers.sent_loads.borrow();
    let mut view = cx.view.borrow_mut();
    let view = &mut *view;
    message.apply(
        now,
        &mut view.fleet,
        &mut view.residency,
        own_region.then_some(own_loads.as_slice()),
    );
    if let Some(update) = message.fleet {
        let reader = cx.peers.address(message.from).unwrap_or(from);
        view.peer_sync = Some(PeerSync::new(now, reader, update, message.routers));
    }
    for strike in &message.strikes {
        view.strikes.add(now, *strike);
    }
    if message.region.is_none() && !cx.peers.topology.borrow().is_full_mesh() {
        reannounce(cx, view, message);
    }
}

/// Adds the announcements of a router in this hub's region to the hub's own.
fn reannounce(cx: &Context, view: &ClusterView, message: &Gossip) {
    for update in &message.parts {
        if let Some(key) = view.fleet.by_instance_hash(update.server) {
            cx.peers.announce_part(SentPart {
                part: PartKey(update.part),
                server: key,
                transfer: update.transfer,
            });
        }
    }
    for update in &message.switches {
        if let Some(key) = view.fleet.by_instance_hash(update.server) {
            let until = now().plus_millis(u64::from(update.for_ms));
            cx.peers.announce_switch(WeightsSwitch {
                server: key,
                model: update.model.clone(),
                version: update.version,
                until,
            });
        }
    }
    for strike in &message.strikes {
        cx.peers.announce_strike(*strike);
    }
    for ended in &message.ended {
        cx.peers.announce_ended(*ended);
    }
    for update in &message.weights {
        if let Some(key) = view.fleet.by_instance_hash(update.server) {
            cx.peers
                .announce_weights(key, &update.model, update.version);
        }
    }
}

fn build_message(cx: &Context) -> Gossip {
    let now = now();
    let mut topology = cx.peers.topology.borrow_mut();
    let is_hub = topology.is_hub(now);
    let view = cx.view.borrow();
    let fleet = &view.fleet;
    let instance_hash = |key: ServerKey| fleet.get(key).map(|server| server.instance_hash);
    let counts = |router| is_hub && topology.is_in_region(router);
    let loads = fleet
        .iter()
        .filter_map(|(_, server)| LoadUpdate::new(now, server, counts));
    let loads: Vec<LoadUpdate> = loads.collect();
    let parts = cx.peers.parts.borrow();
    let parts = parts.iter().rev().take(MAX_PARTS).filter_map(|announced| {
        let sent = announced.value;
        Some(PartUpdate {
            part: sent.part.0,
            server: instance_hash(sent.server)?,
            transfer: sent.transfer,
        })
    });
    let switches = cx.peers.switches.borrow();
    let switches = switches.iter().filter_map(|announced| {
        let switch = &announced.value;
        let for_ms = u32::try_from(switch.until.millis_since(now)).ok()?;
        Some(SwitchUpdate {
            server: instance_hash(switch.server)?,
            model: switch.model.clone(),
            version: switch.version,
            for_ms,
        })
    });
    let weights = cx.peers.weights.borrow();
    let weights = weights.iter().filter_map(|announced| {
        let (server, model, version) = &announced.value;
        Some(WeightsUpdate {
            server: instance_hash(*server)?,
            model: model.clone(),
            version: *version,
        })
    });
    let strikes = cx.peers.strikes.borrow();
    let strikes = strikes
        .iter()
        .map(|announced| announced.value)
        .take(MAX_STRIKES);
    let ended = cx.peers.ended.borrow();
    let named = view.weights.newest_with_ages(now);
    let named = named.map(|(model, version, age_ms)| AnnouncementUpdate {
        model: model.to_string(),
        version,
        age_ms,
    });
    let fleet_update = view.own_sync.map(|sync| FleetUpdate {
        digest: fleet.digest(),
        as_of: sync.as_of,
        age_ms: u32::try_from(now.millis_since(sync.read_at)).unwrap_or(u32::MAX),
    });
    *cx.peers.sent_loads.borrow_mut() = loads.clone();
    Gossip {
        from: cx.peers.own_hash,
        region: is_hub.then(|| topology.region()),
        configuration: view.configuration.as_ref().map_or(0, |c| c.version),
        fleet: fleet_update,
        named: named.collect(),
        loads,
        parts: parts.collect(),
        switches: switches.collect(),
        weights: weights.collect(),
        strikes: strikes.collect(),
        ended: ended.iter().map(|announced| announced.value).collect(),
        routers: view.routers_known.then(|| cx.peers.digest()),
    }
}
