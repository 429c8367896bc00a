//! Builds the gossip messages of this router from its view and its announcements.

use policy::Time;
use relay::Fleet;
use relay::FleetUpdate;
use relay::Gossip;
use relay::LoadUpdate;
use relay::PartUpdate;
use relay::ReadingUpdate;
use relay::RejectionsUpdate;
use relay::ServerKey;
use relay::SwitchUpdate;
use relay::WeightsUpdate;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::context::Context;
use crate::peers::Peers;

/// Most prompt parts in one message.
const MAX_PARTS: usize = 60;

/// Most servers in one message that have said something of themselves.
const MAX_STATEMENTS: usize = 200;

/// Returns the next message, and records the loads in it as sent. A hub reports for its region.
pub fn build_message(cx: &Context) -> Gossip {
    let now = now();
    let peers = &cx.peers;
    let mut topology = peers.topology.borrow_mut();
    let is_hub = topology.is_hub(now);
    let suspects = cx.view.borrow_mut().crash_evidence.next_updates(now);
    let view = cx.view.borrow();
    let fleet = &view.fleet;
    let counts = |router| is_hub && topology.is_in_region(router);
    let servers = fleet.iter().map(|(_, server)| server);
    let loads: Vec<_> = servers
        .filter_map(|server| {
            let update = LoadUpdate::new(now, server, counts)?;
            Some(if fleet.learns_paces() {
                update.with_pace(now, server, counts)
            } else {
                update
            })
        })
        .collect();
    let paces = loads.iter().filter_map(|load| load.pace).collect();
    *peers.sent_loads.borrow_mut() = loads.clone();
    let ended = peers.ended.borrow();
    Gossip {
        from: peers.own_hash,
        region: is_hub.then(|| topology.region()),
        era: view.store_era,
        configuration: view.configuration.as_ref().map_or(0, |c| c.version),
        fleet: fleet_update(now, &view),
        named: view.weights.newest(now).collect(),
        loads,
        parts: part_updates(peers, fleet),
        switches: switch_updates(now, peers, fleet),
        weights: weights_updates(peers, fleet),
        suspects,
        ended: ended.iter().map(|announced| announced.value).collect(),
        statements: fleet.statements(now).take(MAX_STATEMENTS).collect(),
        routers: view.routers_known.then(|| peers.digest()),
        paces,
        rejections: rejections_updates(now, fleet),
        counted_routers: fleet.counted_routers(now, counts),
        completeness: view.weights.completeness(now),
    }
}

fn fleet_update(now: Time, view: &ClusterView) -> Option<FleetUpdate> {
    let reading = view
        .announced_reading()
        .filter(|_| view.reads_registrations)?;
    Some(FleetUpdate {
        digest: view.fleet.digest(),
        reading: ReadingUpdate::new(now, reading),
    })
}

fn part_updates(peers: &Peers, fleet: &Fleet) -> Vec<PartUpdate> {
    let parts = peers.parts.borrow();
    let updates = parts.iter().rev().take(MAX_PARTS).filter_map(|announced| {
        let sent = announced.value;
        Some(PartUpdate {
            part: sent.part.0,
            server: instance_hash(fleet, sent.server)?,
            transfer: sent.transfer,
        })
    });
    updates.collect()
}

fn switch_updates(now: Time, peers: &Peers, fleet: &Fleet) -> Vec<SwitchUpdate> {
    let switches = peers.switches.borrow();
    let updates = switches.iter().filter_map(|announced| {
        let switch = &announced.value;
        Some(SwitchUpdate {
            server: instance_hash(fleet, switch.server)?,
            model: switch.model.clone(),
            version: switch.version,
            for_ms: u32::try_from(switch.until.millis_since(now)).ok()?,
        })
    });
    updates.collect()
}

fn weights_updates(peers: &Peers, fleet: &Fleet) -> Vec<WeightsUpdate> {
    let weights = peers.weights.borrow();
    let updates = weights.iter().filter_map(|announced| {
        let (server, model, version) = &announced.value;
        Some(WeightsUpdate {
            server: instance_hash(fleet, *server)?,
            model: model.clone(),
            version: *version,
        })
    });
    updates.collect()
}

fn rejections_updates(now: Time, fleet: &Fleet) -> Vec<RejectionsUpdate> {
    let servers = fleet.iter().map(|(_, server)| server);
    let updates = servers.filter_map(|server| server.rejections_update(now));
    updates.collect()
}

fn instance_hash(fleet: &Fleet, key: ServerKey) -> Option<u64> {
    fleet.get(key).map(|server| server.instance_hash)
}
