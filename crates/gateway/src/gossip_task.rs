//! Sends and receives gossip messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::Arrival;
use policy::Time;
use relay::Gossip;
use relay::PartKey;
use relay::PeerReading;
use tokio::time::timeout;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::context::Context;
use crate::gossip_message::build_message;
use crate::peer_message::PeerMessage;
use crate::peer_sender::encode;
use crate::peers::SentPart;
use crate::peers::WeightsSwitch;
use crate::permits;
use crate::places;
use crate::process_event::log_failure;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;
use crate::quota_task;
use crate::rejections;
use crate::store_era::note_era;
use crate::stream_builds;
use crate::stream_record_task;

/// Longest time between two messages in a full mesh, where each router sends to all others.
const FULL_MESH_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time between two messages where routers send through hubs.
const HUB_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a message is sent to no further router, in milliseconds: ages in it count from its
/// arrival. A slow VM sends to all of them in less.
const MAX_SEND_TIME_MS: u64 = 500;

/// Largest message that can be received, in bytes.
const MAX_MESSAGE_BYTES: usize = 65_507;

/// Sends and receives messages until the process ends.
pub async fn run(cx: Rc<Context>) {
    tokio::task::spawn_local(receive(Rc::clone(&cx)));
    loop {
        let interval = if cx.peers.topology.borrow().is_full_mesh() {
            FULL_MESH_INTERVAL
        } else {
            HUB_INTERVAL
        };
        // An announcement or the timeout: a message is sent in either case.
        let _ = timeout(interval, cx.peers.wake.notified()).await;
        let built_at = now();
        let message = PeerMessage::Gossip(Box::new(build_message(&cx)));
        cx.peers.remove_expired();
        let Some(bytes) = encode(&message) else {
            continue;
        };
        let recipients = cx.peers.topology.borrow_mut().recipients(now());
        let mut addresses = cx.peers.addresses(&recipients);
        addresses.extend(cx.peers.unregistered());
        send(&cx, &addresses, &bytes, built_at).await;
    }
}

/// Sends a message, unless its ages have become too old, as after a pause.
async fn send(cx: &Context, addresses: &[SocketAddr], bytes: &[u8], built_at: Time) {
    let send_until = built_at.plus_millis(MAX_SEND_TIME_MS);
    for address in addresses {
        if now() > send_until {
            return;
        }
        cx.send_bytes_to_peer(*address, bytes).await;
    }
}

async fn receive(cx: Rc<Context>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (len, from) = match cx.peer_socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log_failure(Step::GossipReceive, &e);
                tokio::time::sleep(FULL_MESH_INTERVAL).await;
                continue;
            }
        };
        let bytes = &buf[..len];
        match postcard::from_bytes::<PeerMessage>(bytes) {
            Ok(PeerMessage::Gossip(message)) => {
                let arrival = cx.pause_watch.arrival(now());
                apply(&cx, from, arrival, &message);
                cx.room_freed.notify_waiters();
                forward(&cx, arrival, *message, bytes).await;
            }
            Ok(PeerMessage::PermitRequest(request)) => permits::answer(&cx, from, request).await,
            Ok(PeerMessage::PermitResponse(response)) => {
                cx.pending_permits.settle(response.id, response.permit);
            }
            Ok(PeerMessage::StreamOrigins(streams)) => {
                stream_record_task::add(&cx, &streams);
                let origins = &mut cx.view.borrow_mut().stream_origins;
                for origin in streams {
                    origins.record(now(), origin);
                }
            }
            Ok(PeerMessage::StreamQuery(query)) => stream_builds::answer(&cx, from, query).await,
            Ok(PeerMessage::StreamReply(reply)) => {
                cx.pending_streams.settle(reply.id, reply.knowledge);
            }
            Ok(PeerMessage::PlaceAsked(asked)) => places::answer(&cx, from, asked).await,
            Ok(PeerMessage::PlaceReleased(released)) => places::release(&cx, released),
            Ok(PeerMessage::QuotaAsk(ask)) => quota_task::answer(&cx, from, &ask).await,
            Ok(PeerMessage::QuotaReply(reply)) => quota_task::apply(&cx, &reply),
            Err(e) => log_peer_failure(Step::GossipRead, &from, &e),
        }
    }
}

/// Forwards another region's message, if this router is a hub. Ages in a message that has waited here
/// would be too young for its recipients, so readings of the store are left out of it.
async fn forward(cx: &Context, arrival: Arrival, message: Gossip, bytes: &[u8]) {
    let recipients = forward_recipients(cx, &message);
    if recipients.is_empty() {
        return;
    }
    let addresses = cx.peers.addresses(&recipients);
    if !arrival.may_have_waited() {
        return send(cx, &addresses, bytes, arrival.latest()).await;
    }
    let without_readings = Gossip {
        fleet: None,
        completeness: Vec::new(),
        ..message
    };
    let message = PeerMessage::Gossip(Box::new(without_readings));
    if let Some(bytes) = encode(&message) {
        send(cx, &addresses, &bytes, arrival.latest()).await;
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

fn apply(cx: &Context, from: SocketAddr, arrival: Arrival, message: &Gossip) {
    let now = now();
    cx.peers.on_message(
        message.from,
        message.configuration,
        message.routers.is_some(),
    );
    if message.region.is_none() {
        cx.peers.record_unregistered(message.from, from);
    }
    note_era(cx, message.era, "peer");
    cx.apply_announcements(arrival, &message.named, &message.completeness);
    cx.apply_statements(arrival, &message.statements);
    rejections::merge(cx, arrival, &message.rejections);
    for update in &message.suspects {
        cx.merge_suspect(arrival, update, "peer");
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
        let announcement = PeerReading {
            router: message.from,
            address: cx.peers.address(message.from).unwrap_or(from),
            digest: update.digest,
            reading: update.reading.reading(arrival),
            routers: message.routers,
        };
        view.peer_readings.record(now, announcement);
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
