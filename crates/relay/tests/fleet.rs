//! Backend servers and their lifetimes.

mod common;

use common::at;
use common::entry;
use common::fleet;
use common::MODEL;
use policy::Time;
use relay::Fleet;
use relay::FleetChange;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Residency;
use relay::ServerState;
use relay::SwitchUpdate;

#[test]
fn an_id_that_starts_again_is_another_lifetime() {
    let mut fleet = fleet(1, 3);
    let old = fleet.by_id("e0").unwrap();
    let mut again = entry("e0", 1);
    again.started_ms = 2;
    fleet.apply(at(10), again);
    assert!(fleet.get(old).is_none());
    let new = fleet.by_id("e0").unwrap();
    assert_eq!(fleet.get(new).unwrap().weights(MODEL), Some(1));
}

#[test]
fn a_server_that_drains_never_takes_requests_again_in_that_lifetime() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let mut draining = entry("e0", 1);
    draining.state = ServerState::Draining;
    let change = fleet.apply(at(10), draining);
    assert_eq!(change, Some(FleetChange::Draining(key)));
    fleet.apply(at(20), entry("e0", 1));
    assert!(!fleet.get(key).unwrap().takes_requests(at(30)));
}

#[test]
fn weights_that_were_seen_are_not_taken_back_by_an_older_registration() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    fleet.get_mut(key).unwrap().record_weights(MODEL, 2);
    fleet.apply(at(10), entry("e0", 1));
    assert_eq!(fleet.get(key).unwrap().weights(MODEL), Some(2));
}

#[test]
fn a_server_missing_after_the_store_was_away_is_kept_for_two_seconds_and_then_gone() {
    let mut fleet = fleet(2, 1);
    let back = at(1_000);
    fleet.replace(at(1_100), vec![entry("e0", 1)], back);
    assert!(fleet.by_id("e1").is_some());
    fleet.replace(at(3_200), vec![entry("e0", 1)], back);
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn a_server_that_is_missing_and_only_kept_is_not_told_to_other_routers() {
    let mut fleet = fleet(2, 1);
    let digest_of_one = common::fleet(1, 1).digest();
    fleet.replace(at(1_100), vec![entry("e0", 1)], at(1_000));
    assert!(fleet.by_id("e1").is_some());
    let told: Vec<_> = fleet
        .registered()
        .map(|s| s.registration.id.to_string())
        .collect();
    assert_eq!(told, ["e0"]);
    assert_eq!(fleet.digest(), digest_of_one);
}

#[test]
fn a_server_missing_without_an_outage_is_gone_at_once() {
    let mut fleet = fleet(2, 1);
    fleet.replace(at(10_000), vec![entry("e0", 1)], Time(0));
    assert!(fleet.by_id("e1").is_none());
}

#[test]
fn the_digest_tells_states_apart_and_not_the_order_of_registration() {
    let one = fleet(3, 1);
    let mut other = Fleet::default();
    for id in ["e2", "e0", "e1"] {
        other.apply(at(5), entry(id, 1));
    }
    assert_eq!(one.digest(), other.digest());
    let mut draining = entry("e1", 1);
    draining.state = ServerState::Draining;
    other.apply(at(6), draining);
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn a_sum_of_the_own_region_counts_this_routers_part_once() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    fleet.begin_request(at(0), key, 100);
    let told = |requests, reading_ms| LoadUpdate {
        server: fleet.get(key).unwrap().instance_hash,
        requests,
        reading_ms,
    };
    let own = [told(1, 100)];
    let sum = Gossip {
        region: Some(5),
        loads: vec![told(4, 900)],
        ..Gossip::default()
    };
    sum.apply(at(10), &mut fleet, &mut Residency::default(), Some(&own));
    let load = fleet.get(key).unwrap().load(at(20));
    assert_eq!((load.requests, load.reading_ms), (4, 900));
}

#[test]
fn loads_of_a_router_that_fell_silent_are_forgotten() {
    let mut fleet = fleet(1, 1);
    let key = fleet.by_id("e0").unwrap();
    let instance_hash = fleet.get(key).unwrap().instance_hash;
    let gossip = Gossip {
        from: 9,
        loads: vec![LoadUpdate {
            server: instance_hash,
            requests: 3,
            reading_ms: 30,
        }],
        ..Gossip::default()
    };
    gossip.apply(at(0), &mut fleet, &mut Residency::default(), None);
    assert_eq!(fleet.get(key).unwrap().load(at(100)).requests, 3);
    assert_eq!(fleet.get(key).unwrap().load(at(2_000)).requests, 0);
}

#[test]
fn a_switch_that_is_told_again_after_the_engine_has_the_weights_is_old_news() {
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
