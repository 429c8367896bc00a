//! What a router concludes from connections that fail, with what other routers report.

mod common;

use std::sync::Arc;

use common::at;
use common::fleet;
use common::keys;
use policy::Time;
use relay::Fleet;
use relay::Load;
use relay::Path;
use relay::Reach;
use relay::ReachChange;
use relay::Responses;
use relay::ServerKey;

/// Another router.
const OTHER: u64 = 7;

/// Reports that a server responded to another router at a time.
fn report_response(fleet: &mut Fleet, key: ServerKey, now: Time, responded_at: Time) {
    let responses = Responses {
        responded_at: Some(responded_at),
        silent_since: None,
    };
    let server = fleet.get_mut(key).unwrap();
    server.set_other_report(now, OTHER, Load::default(), responses);
}

fn path(reach: &Reach, fleet: &Fleet, now: Time, key: ServerKey) -> Path {
    reach.path(now, key, fleet.get(key).unwrap())
}

fn cut(unreachable: usize) -> ReachChange {
    ReachChange::Cut {
        domain: "a".into(),
        unreachable,
    }
}

/// A router whose connections to two of three servers failed at 0, and another one that has had
/// responses of both since.
fn cut_off() -> (Reach, Fleet) {
    let mut fleet = fleet(3, 1);
    let mut reach = Reach::default();
    let keys = keys(&fleet);
    for key in &keys[..2] {
        reach.record_failed(at(0), *key);
        report_response(&mut fleet, *key, at(400), at(300));
    }
    (reach, fleet)
}

#[test]
fn a_server_that_nobody_reaches_is_no_lost_link() {
    let fleet = fleet(2, 1);
    let mut reach = Reach::default();
    for key in keys(&fleet) {
        reach.record_failed(at(0), key);
    }

    assert_eq!(reach.update(at(400), &fleet), []);
    assert_eq!(path(&reach, &fleet, at(400), keys(&fleet)[0]), Path::Direct);
}

#[test]
fn a_response_to_another_router_before_the_failure_proves_nothing() {
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    let mut reach = Reach::default();
    reach.record_failed(at(200), key);
    report_response(&mut fleet, key, at(400), at(190));

    assert_eq!(reach.update(at(400), &fleet), []);
    assert_eq!(path(&reach, &fleet, at(400), key), Path::Direct);
}

#[test]
fn a_response_to_another_router_long_after_the_last_failure_is_that_of_a_server_that_is_back() {
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    let mut reach = Reach::default();
    reach.record_failed(at(0), key);
    report_response(&mut fleet, key, at(2_500), at(2_400));

    assert_eq!(reach.update(at(2_500), &fleet), []);
    assert_eq!(path(&reach, &fleet, at(2_500), key), Path::Direct);
}

#[test]
fn a_server_that_another_router_could_not_connect_to_is_not_tried_through_routers_again() {
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    let mut reach = Reach::default();
    report_response(&mut fleet, key, at(100), at(50));
    let may = |reach: &Reach, fleet: &Fleet, ms| {
        reach.may_be_reached_by_others(at(ms), key, fleet.get(key).unwrap())
    };
    let first = may(&reach, &fleet, 110);

    reach.record_failed_for_other(at(120), key);

    assert!(first);
    assert!(!may(&reach, &fleet, 130));
    report_response(&mut fleet, key, at(200), at(190));
    assert!(may(&reach, &fleet, 210));
}

#[test]
fn one_server_of_several_is_reached_through_a_router_and_the_others_are_not() {
    let mut fleet = fleet(3, 1);
    let keys = keys(&fleet);
    let mut reach = Reach::default();
    reach.record_failed(at(0), keys[0]);
    report_response(&mut fleet, keys[0], at(400), at(300));

    assert_eq!(reach.update(at(400), &fleet), []);
    assert_eq!(path(&reach, &fleet, at(400), keys[0]), Path::ThroughRouter);
    assert_eq!(path(&reach, &fleet, at(400), keys[1]), Path::Direct);
}

#[test]
fn two_servers_that_others_reach_cut_off_their_failure_domain() {
    let (mut reach, fleet) = cut_off();

    assert_eq!(reach.update(at(400), &fleet), [cut(2)]);
    assert_eq!(reach.update(at(500), &fleet), []);
    for key in keys(&fleet) {
        assert_eq!(path(&reach, &fleet, at(500), key), Path::ThroughRouter);
    }
}

#[test]
fn a_failure_domain_stays_cut_off_until_a_connection_is_established() {
    let (mut reach, fleet) = cut_off();
    reach.update(at(400), &fleet);
    reach.update(at(30_000), &fleet);
    let key = keys(&fleet)[2];
    assert_eq!(path(&reach, &fleet, at(30_000), key), Path::ThroughRouter);

    let change = reach.record_connected(at(30_400), key, fleet.get(key).unwrap());

    let reached = ReachChange::Reached {
        domain: "a".into(),
        cut_ms: 30_000,
    };
    assert_eq!(change, Some(reached));
    assert_eq!(path(&reach, &fleet, at(30_400), key), Path::Direct);
}

#[test]
fn a_connection_established_after_the_failures_keeps_the_failure_domain() {
    let (mut reach, fleet) = cut_off();
    let key = keys(&fleet)[2];
    reach.record_connected(at(10), key, fleet.get(key).unwrap());

    assert_eq!(reach.update(at(400), &fleet), []);
}

#[test]
fn a_cut_off_failure_domain_is_probed_twice_a_second() {
    let (mut reach, fleet) = cut_off();
    reach.update(at(400), &fleet);

    let ticks = (0..30).map(|i| at(500 + i * 100));
    let probes: usize = ticks.map(|now| reach.probes(now, &fleet).len()).sum();

    assert_eq!(probes, 6);
}

#[test]
fn servers_that_owe_responses_while_their_domain_is_silent_are_probed() {
    let mut fleet = fleet(3, 1);
    let mut reach = Reach::default();
    for key in keys(&fleet) {
        fleet.begin_request(at(0), key, 0);
    }

    assert_eq!(reach.probes(at(500), &fleet), []);
    assert_eq!(reach.probes(at(700), &fleet).len(), 2);
    assert_eq!(reach.probes(at(800), &fleet), []);
}

#[test]
fn a_domain_that_sends_responses_is_not_probed() {
    let mut fleet = fleet(3, 1);
    let mut reach = Reach::default();
    let keys = keys(&fleet);
    for key in &keys {
        fleet.begin_request(at(0), *key, 0);
    }
    fleet.end_prefill(at(650), keys[0], 0);

    assert_eq!(reach.probes(at(700), &fleet), []);
}

#[test]
fn a_router_that_refused_is_asked_again_after_a_while() {
    let mut reach = Reach::default();
    let domain: Arc<str> = "a".into();
    reach.record_refused(at(0), OTHER, &domain);

    assert!(!reach.may_ask(at(900), OTHER, &domain));
    assert!(reach.may_ask(at(900), OTHER, &"b".into()));
    assert!(reach.may_ask(at(1_100), OTHER, &domain));
}
