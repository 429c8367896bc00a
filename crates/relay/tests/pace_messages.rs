//! What routers tell each other of paces, and how long it holds.

mod common;

use common::at;
use common::fleet;
use common::keys;
use common::registration;
use policy::Time;
use relay::AttemptTiming;
use relay::Fleet;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Residency;
use relay::ServerKey;

/// Bytes that a pace may add to a message for each server.
const MAX_PACE_BYTES: usize = 16;

/// Bytes of the fields that older routers don't send, if they are empty.
const NEW_FIELDS_BYTES: usize = 4;

/// Ends from which a pace is learned.
const ENDS: u64 = 40;

fn learning_fleet() -> Fleet {
    let mut fleet = fleet(5, 1);
    fleet.learn_paces(true);
    fleet
}

fn record(fleet: &mut Fleet, now: Time, key: ServerKey, event_ms: f64) {
    fleet.begin_request(now, key, 0);
    let timing = AttemptTiming::Event {
        event_ms,
        requests: 1.0,
    };
    fleet.record_timing(now, key, timing);
    fleet.end_request(key, 0);
}

/// Records ends of all servers over two seconds up to `until_ms`; those of the first take
/// `factor` times as long.
fn record_ends(fleet: &mut Fleet, until_ms: u64, factor: f64) {
    for i in 0..ENDS {
        let now = at(until_ms - 2_000 + i * 2_000 / ENDS);
        for (n, key) in keys(fleet).into_iter().enumerate() {
            let event_ms = if n == 0 { 6.0 * factor } else { 6.0 };
            record(fleet, now, key, event_ms);
        }
    }
    fleet.refresh_paces(at(until_ms));
}

fn first_pace(fleet: &Fleet, ms: u64) -> f64 {
    let key = keys(fleet)[0];
    fleet.get(key).unwrap().pace(at(ms))
}

/// Returns a message with what a router has learned.
fn message(fleet: &Fleet, now: Time) -> Gossip {
    let servers = fleet.iter();
    let loads: Vec<LoadUpdate> = servers
        .filter_map(|(_, server)| {
            let update = LoadUpdate::new(now, server, |_| false)?;
            Some(update.with_pace(now, server, |_| false))
        })
        .collect();
    Gossip {
        from: 9,
        paces: loads.iter().filter_map(|load| load.pace).collect(),
        loads,
        ..Gossip::default()
    }
}

#[test]
fn a_slower_server_is_told_from_the_others() {
    let mut fleet = learning_fleet();
    record_ends(&mut fleet, 4_000, 2.0);
    let pace = first_pace(&fleet, 4_000);
    assert!((1.9..2.1).contains(&pace), "{pace}");
}

#[test]
fn a_difference_within_15_percent_counts_as_none() {
    let mut fleet = learning_fleet();
    record_ends(&mut fleet, 4_000, 1.14);
    assert_eq!(first_pace(&fleet, 4_000), 1.0);
}

#[test]
fn nothing_is_learned_unless_the_setting_is_on() {
    let mut fleet = fleet(5, 1);
    record_ends(&mut fleet, 4_000, 2.0);
    assert_eq!(first_pace(&fleet, 4_000), 1.0);
}

#[test]
fn a_pace_approaches_one_without_requests_and_is_forgotten_after_ten_seconds() {
    let mut fleet = learning_fleet();
    record_ends(&mut fleet, 4_000, 4.0);
    let relaxed = first_pace(&fleet, 6_500);
    assert!(relaxed > 1.0 && relaxed < 2.0, "{relaxed}");
    assert_eq!(first_pace(&fleet, 14_000), 1.0);
}

#[test]
fn a_pace_is_at_most_eight() {
    let mut fleet = learning_fleet();
    record_ends(&mut fleet, 4_000, 50.0);
    assert_eq!(first_pace(&fleet, 4_000), 8.0);
}

#[test]
fn a_new_incarnation_begins_at_the_median_of_its_service() {
    let mut fleet = learning_fleet();
    record_ends(&mut fleet, 4_000, 4.0);
    let mut next = registration("e0", 1);
    next.started_ms = 2;
    fleet.apply(at(4_000), next);
    let next = fleet.by_id("e0").unwrap();
    assert_eq!(fleet.get(next).unwrap().pace(at(4_010)), 1.0);
}

#[test]
fn another_router_learns_a_pace_from_a_message() {
    let (mut sender, mut receiver) = (learning_fleet(), learning_fleet());
    record_ends(&mut sender, 4_000, 2.0);
    for key in keys(&sender) {
        sender.begin_request(at(4_000), key, 0);
    }
    let bytes = postcard::to_stdvec(&message(&sender, at(4_000))).unwrap();
    let received: Gossip = postcard::from_bytes(&bytes).unwrap();

    received.apply(at(4_200), &mut receiver, &mut Residency::default(), None);

    let pace = first_pace(&receiver, 4_200);
    assert!((1.8..2.2).contains(&pace), "{pace}");
}

#[test]
fn messages_of_older_routers_are_read_and_older_routers_read_messages_with_paces() {
    let mut sender = learning_fleet();
    record_ends(&mut sender, 4_000, 2.0);
    for key in keys(&sender) {
        sender.begin_request(at(4_000), key, 0);
    }
    let new = message(&sender, at(4_000));
    let without = Gossip {
        paces: Vec::new(),
        ..new.clone()
    };
    let new = postcard::to_stdvec(&new).unwrap();
    let mut old = postcard::to_stdvec(&without).unwrap();
    // Older routers send none of the last fields: three empty lists and a number.
    old.truncate(old.len() - NEW_FIELDS_BYTES);

    let read: Gossip = postcard::from_bytes(&old).unwrap();

    assert_eq!(read.loads.len(), without.loads.len());
    assert_eq!(read.paces, Vec::new());
    assert!(
        new.starts_with(&old),
        "an older router ignores what follows"
    );
    let added = new.len() - old.len() - NEW_FIELDS_BYTES;
    assert!(added <= MAX_PACE_BYTES * read.loads.len(), "{added} bytes");
}
