//! Hundreds of routers before some hundred engines: each router sends an engine a request
//! once in many seconds, so it learns only from the others that the engine is unresponsive
//! or was replaced.

mod common;

use std::collections::BTreeMap;

use common::at;
use common::fleet;
use common::keys;
use common::no_weights;
use common::registration;
use common::request;
use common::LONG;
use policy::Time;
use relay::Choice;
use relay::Fleet;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Placement;
use relay::PrefixStores;
use relay::Residency;
use relay::ServerKey;

fn place(fleet: &Fleet, now: Time) -> Choice {
    let placement = Placement {
        fleet,
        residency: &Residency::default(),
        weights: &no_weights(5_000),
        stores: PrefixStores {
            configuration: None,
            regions: &BTreeMap::new(),
        },
        limits_room: false,
        domain: "a",
        now,
    };
    placement.choose(&request(&LONG)).unwrap()
}

/// Delivers to `receiver` what `sender` reports, as the message of router `from`.
fn report(sender: &Fleet, receiver: &mut Fleet, from: u64, now: Time) {
    let servers = sender.iter();
    let loads = servers.filter_map(|(_, server)| LoadUpdate::new(now, server, |_| false));
    let message = Gossip {
        from,
        loads: loads.collect(),
        ..Gossip::default()
    };
    message.apply(now, receiver, &mut Residency::default(), None);
}

fn unresponsive_ms(fleet: &Fleet, key: ServerKey, now: Time) -> u64 {
    fleet.get(key).unwrap().unresponsive_ms(now)
}

#[test]
fn an_engine_that_does_not_respond_to_other_routers_gets_no_request_of_this_one() {
    let (mut other, mut fleet) = (fleet(3, 1), fleet(3, 1));
    let dark = place(&fleet, at(0)).server;
    other.begin_request(at(0), dark, 0);
    report(&other, &mut fleet, 9, at(1_500));
    assert_ne!(place(&fleet, at(1_500)).server, dark);
}

#[test]
fn an_engine_that_refuses_connections_is_reported_although_no_request_is_in_flight() {
    let (mut other, mut fleet) = (fleet(3, 1), fleet(3, 1));
    let down = place(&fleet, at(0)).server;
    for ms in [0, 700, 1_400] {
        other.get_mut(down).unwrap().record_failure(at(ms));
    }
    report(&other, &mut fleet, 9, at(1_500));
    assert_ne!(place(&fleet, at(1_500)).server, down);
}

#[test]
fn a_failure_is_forgotten_after_two_seconds_so_that_the_engine_is_tried_again() {
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    fleet.get_mut(key).unwrap().record_failure(at(0));
    assert_eq!(unresponsive_ms(&fleet, key, at(1_900)), 1_400);
    assert_eq!(unresponsive_ms(&fleet, key, at(2_000)), 0);
}

#[test]
fn a_router_that_reaches_no_engine_makes_no_other_router_avoid_those_that_respond() {
    // Arrange
    let (mut cut_off, mut sound, mut fleet) = (fleet(1, 1), fleet(1, 1), fleet(1, 1));
    let key = keys(&fleet)[0];
    cut_off.begin_request(at(0), key, 0);
    sound.begin_request(at(2_800), key, 0);
    sound.end_prefill(at(2_900), key, 0);

    // Act
    report(&cut_off, &mut fleet, 8, at(3_000));
    report(&sound, &mut fleet, 9, at(3_000));

    // Assert
    assert_eq!(unresponsive_ms(&fleet, key, at(3_300)), 0);
}

#[test]
fn the_time_that_a_message_takes_does_not_count_as_silence() {
    let (mut other, mut fleet) = (fleet(1, 1), fleet(1, 1));
    let key = keys(&fleet)[0];
    other.begin_request(at(0), key, 0);
    report(&other, &mut fleet, 9, at(400));
    assert_eq!(unresponsive_ms(&fleet, key, at(500)), 0);
}

#[test]
fn an_incarnation_that_was_followed_by_another_at_its_address_gets_no_requests() {
    let mut fleet = fleet(2, 1);
    let previous = fleet.by_id("e0").unwrap();
    let mut next = registration("e9", 1);
    next.started_ms = 2;
    next.address = fleet.get(previous).unwrap().registration.address;
    fleet.apply(at(10), next);
    assert!(!fleet.get(previous).unwrap().takes_requests(at(20)));
    assert!(fleet.by_id("e9").is_some());
}

#[test]
fn an_incarnation_that_one_router_finds_over_gets_no_requests_of_the_others() {
    let mut fleet = fleet(2, 1);
    let key = keys(&fleet)[0];
    let message = Gossip {
        ended: vec![fleet.get(key).unwrap().instance_hash],
        ..Gossip::default()
    };
    message.apply(at(10), &mut fleet, &mut Residency::default(), None);
    assert!(!fleet.get(key).unwrap().takes_requests(at(20)));
    assert!(!fleet.mark_ended(at(20), key));
}
