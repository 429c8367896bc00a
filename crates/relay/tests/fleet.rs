//! Registrations of backend servers, their incarnations, and load reports of other routers.

mod common;

use common::at;
use common::fleet;
use common::reading;
use common::reading_in;
use common::registration;
use common::MODEL;
use policy::Time;
use relay::Fleet;
use relay::FleetChange;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Reading;
use relay::Residency;
use relay::ServerState;
use relay::SwitchUpdate;

#[test]
fn a_restarted_server_id_is_a_new_incarnation() {
    let mut fleet = fleet(1, 3);
    let old = fleet.by_id("e0").unwrap();
    let mut again = registration("e0", 1);
    again.started_ms = 2;
    fleet.apply(at(10), again);
    assert!(fleet.get(old).is_none());
    let new = fleet.by_id("e0").unwrap();
    assert_eq!(fleet.get(new).unwrap().weights(MODEL), Some(1));
}

#[test]
fn a_draining_server_takes_no_requests_again_in_that_incarnation() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let mut draining = registration("e0", 1);
    draining.state = ServerState::Draining;
    let change = fleet.apply(at(10), draining);
    assert_eq!(change, Some(FleetChange::Draining(key)));
    fleet.apply(at(20), registration("e0", 1));
    assert!(!fleet.get(key).unwrap().takes_requests(at(30)));
}

#[test]
fn recorded_weights_are_not_reverted_by_an_older_registration() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    fleet.get_mut(key).unwrap().record_weights(MODEL, 2);
    fleet.apply(at(10), registration("e0", 1));
    assert_eq!(fleet.get(key).unwrap().weights(MODEL), Some(2));
}

#[test]
fn a_server_missing_after_a_store_outage_is_kept_for_two_seconds_and_then_removed() {
    let mut fleet = fleet(2, 1);
    let after_outage = |revision| reading(revision, at(1_000));
    fleet.replace(at(1_100), vec![registration("e0", 1)], after_outage(5));
    assert!(fleet.by_id("e1").is_some());
    fleet.replace(at(3_200), vec![registration("e0", 1)], after_outage(6));
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn a_server_marked_missing_is_not_announced_to_other_routers() {
    let mut fleet = fleet(2, 1);
    let digest_of_one = common::fleet(1, 1).digest();
    fleet.replace(
        at(1_100),
        vec![registration("e0", 1)],
        reading(5, at(1_000)),
    );
    assert!(fleet.by_id("e1").is_some());
    let announced: Vec<_> = fleet
        .registered()
        .map(|s| s.registration.id.to_string())
        .collect();
    assert_eq!(announced, ["e0"]);
    assert_eq!(fleet.digest(), digest_of_one);
}

#[test]
fn a_server_missing_without_a_store_outage_is_removed_at_once() {
    let mut fleet = fleet(2, 1);
    fleet.replace(at(10_000), vec![registration("e0", 1)], reading(5, Time(0)));
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn a_list_brings_back_no_server_that_left_after_the_list_was_read() {
    // Arrange
    let mut fleet = fleet(2, 1);
    let both = vec![registration("e0", 1), registration("e1", 1)];
    fleet.replace(at(100), both.clone(), reading(5, Time(0)));
    fleet.remove(at(200), "e1");
    fleet.advance(reading(7, Time(0)));

    // Act
    let changes = fleet.replace(at(300), both, reading(6, Time(0)));

    // Assert
    assert_eq!(changes, []);
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn a_store_back_from_an_older_copy_brings_back_no_server_that_left_until_it_says_so_again() {
    // Arrange
    let mut fleet = fleet(2, 1);
    fleet.advance(reading(9, Time(0)));
    fleet.remove(at(200), "e1");
    let both = vec![registration("e0", 1), registration("e1", 1)];

    // Act
    fleet.replace(at(1_000), both.clone(), reading_in(2, 3, at(1_000)));
    let from_copy = fleet.by_id("e1");
    fleet.replace(at(3_200), both, reading_in(2, 8, at(1_000)));

    // Assert
    assert!(from_copy.is_none());
    assert!(fleet.by_id("e1").is_some());
}

#[test]
fn registrations_from_an_older_copy_are_ignored_too_if_the_era_came_without_a_list() {
    let mut fleet = fleet(2, 1);
    fleet.advance(reading(9, Time(0)));
    fleet.remove(at(200), "e1");
    fleet.advance(reading_in(2, 3, at(1_000)));
    let both = vec![registration("e0", 1), registration("e1", 1)];
    fleet.replace(at(1_500), both, reading_in(2, 4, at(1_000)));
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn a_list_of_an_earlier_era_of_the_store_is_ignored_whatever_its_number() {
    let mut fleet = fleet(1, 1);
    fleet.replace(
        at(100),
        vec![registration("e0", 1)],
        reading_in(2, 3, Time(0)),
    );
    let changes = fleet.replace(at(200), vec![], reading_in(1, 900, Time(0)));
    assert_eq!(changes, []);
    assert!(fleet.by_id("e0").is_some());
}

#[test]
fn a_position_older_than_the_registrations_does_not_replace_theirs() {
    let mut fleet = fleet(1, 1);
    fleet.advance(reading(7, Time(0)));
    fleet.advance(reading(6, Time(0)));
    assert_eq!(fleet.reading().unwrap().as_of.number, 7);
}

#[test]
fn a_list_is_due_for_missing_servers_once_the_platform_has_restored_the_others() {
    let mut fleet = fleet(2, 1);
    let list = vec![registration("e0", 1)];
    fleet.replace(at(1_100), list, reading(5, at(1_000)));
    assert!(!fleet.is_list_due(at(3_000)));
    assert!(fleet.is_list_due(at(3_100)));
}

#[test]
fn the_digest_depends_on_states_but_not_on_the_order_of_registration() {
    let one = fleet(3, 1);
    let mut other = Fleet::default();
    for id in ["e2", "e0", "e1"] {
        other.apply(at(5), registration(id, 1));
    }
    assert_eq!(one.digest(), other.digest());
    let mut draining = registration("e1", 1);
    draining.state = ServerState::Draining;
    other.apply(at(6), draining);
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn a_load_sum_of_the_own_region_counts_this_routers_share_once() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    fleet.begin_request(at(0), key, 100);
    let load_update = |requests, prefill_ms| LoadUpdate {
        server: fleet.get(key).unwrap().instance_hash,
        requests,
        prefill_ms,
        responded_ms: None,
        silent_ms: None,
        pace: None,
    };
    let own = [load_update(1, 100)];
    let sum = Gossip {
        region: Some(5),
        loads: vec![load_update(4, 900)],
        ..Gossip::default()
    };
    sum.apply(at(10), &mut fleet, &mut Residency::default(), Some(&own));
    let load = fleet.get(key).unwrap().load(at(20));
    assert_eq!((load.requests, load.prefill_ms), (4, 900));
}

#[test]
fn loads_of_an_unresponsive_router_expire() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let instance_hash = fleet.get(key).unwrap().instance_hash;
    let gossip = Gossip {
        from: 9,
        loads: vec![LoadUpdate {
            server: instance_hash,
            requests: 3,
            prefill_ms: 30,
            responded_ms: None,
            silent_ms: None,
            pace: None,
        }],
        ..Gossip::default()
    };
    gossip.apply(at(0), &mut fleet, &mut Residency::default(), None);
    assert_eq!(fleet.get(key).unwrap().load(at(100)).requests, 3);
    assert_eq!(fleet.get(key).unwrap().load(at(2_000)).requests, 0);
}

#[test]
fn a_repeated_switch_update_is_ignored_once_the_engine_has_the_weights() {
    // Arrange
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let message = Gossip {
        switches: vec![SwitchUpdate {
            server: fleet.get(key).unwrap().instance_hash,
            model: MODEL.to_owned(),
            version: 2,
            for_ms: 1_800,
        }],
        ..Gossip::default()
    };
    let residency = &mut Residency::default();
    message.apply(at(0), &mut fleet, residency, None);
    assert!(!fleet.get(key).unwrap().takes_requests(at(10)));

    // Act
    let server = fleet.get_mut(key).unwrap();
    server.record_weights(MODEL, 2);
    server.switching_until = at(500);
    message.apply(at(510), &mut fleet, residency, None);

    // Assert
    assert!(fleet.get(key).unwrap().takes_requests(at(520)));
}

/// Heartbeat of the servers, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Returns a fleet with a server, read from the store at 0.
fn fleet_with_heartbeats() -> Fleet {
    let mut fleet = Fleet::new(HEARTBEAT_MS);
    fleet.replace(at(0), vec![registration("e0", 1)], reading(5, Time(0)));
    fleet
}

/// Returns the reading of a router that has started at `started_at`.
fn reading_since(number: u64, started_at: Time, read_at: Time) -> Reading {
    Reading {
        read_at,
        outages_known_since: started_at,
        ..reading(number, Time(0))
    }
}

#[test]
fn a_reader_that_was_restarted_excuses_no_missing_server_that_an_earlier_reading_shows() {
    let mut fleet = fleet_with_heartbeats();
    let restarted = reading_since(6, at(1_700), at(1_800));
    fleet.replace(at(1_900), Vec::new(), restarted);
    assert_eq!(fleet.by_id("e0"), None);
}

#[test]
fn a_gap_in_which_a_live_server_may_lapse_excuses_a_missing_one() {
    let mut fleet = fleet_with_heartbeats();
    let restarted = reading_since(6, at(2_500), at(2_600));
    fleet.replace(at(2_700), Vec::new(), restarted);
    assert!(fleet.by_id("e0").is_some());
    assert!(fleet.is_list_due(at(4_600)));
}

#[test]
fn an_outage_that_the_restarted_reader_has_seen_still_excuses() {
    let mut fleet = fleet_with_heartbeats();
    let restarted = Reading {
        outage_until: at(1_750),
        ..reading_since(6, at(1_700), at(1_800))
    };
    fleet.replace(at(1_900), Vec::new(), restarted);
    assert!(fleet.by_id("e0").is_some());
}

#[test]
fn readings_of_different_eras_are_not_joined() {
    let mut fleet = fleet_with_heartbeats();
    let restarted = Reading {
        read_at: at(1_800),
        outages_known_since: at(1_700),
        ..reading_in(2, 6, Time(0))
    };
    fleet.replace(at(1_900), Vec::new(), restarted);
    assert!(fleet.by_id("e0").is_some());
}

// Guards against a server that counts as unresponsive, for all routers, as callers of one don't read.
#[test]
fn a_server_whose_responses_this_router_doesnt_read_is_not_unresponsive() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let unresponsive_ms = |fleet: &Fleet, now| fleet.get(key).unwrap().unresponsive_ms(now);
    for _ in 0..2 {
        fleet.begin_request(at(0), key, 0);
        fleet.end_prefill(at(10), key, 0);
        fleet.get_mut(key).unwrap().begin_hold_back();
    }
    assert_eq!(unresponsive_ms(&fleet, at(5_000)), 0);

    fleet.begin_request(at(5_000), key, 0);

    assert_eq!(unresponsive_ms(&fleet, at(5_100)), 100);
    fleet.end_prefill(at(5_200), key, 0);
    fleet.end_request(key, 0);
    assert_eq!(unresponsive_ms(&fleet, at(9_000)), 0);
    fleet.get_mut(key).unwrap().end_hold_back(at(9_000));
    assert_eq!(unresponsive_ms(&fleet, at(9_400)), 400);
}
