//! Rejections in a row by one backend server: an engine that carries out an order rejects all
//! requests until it is complete, and each router found that out again every 250 ms.

mod common;

use std::collections::BTreeMap;

use common::announce_now;
use common::at;
use common::fleet;
use common::keys;
use common::no_weights;
use common::request;
use common::LONG;
use common::SERVICE;
use policy::Arrival;
use policy::Time;
use relay::CallerLimits;
use relay::Choice;
use relay::Configuration;
use relay::Fleet;
use relay::Gossip;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStores;
use relay::Quota;
use relay::QuotaUnit;
use relay::Rejection;
use relay::Rejections;
use relay::RejectionsUpdate;
use relay::Residency;
use relay::RoomNeed;
use relay::Routers;
use relay::Unplaceable;
use relay::Weights;
use relay::Workspace;

fn rejection(sent_at: Time) -> Rejection {
    Rejection {
        sent_at,
        is_shared: true,
        turn_ms: 0,
    }
}

/// Returns what is known after rejections that arrived at these times, each of a request that was
/// sent 1 ms before.
fn rejected_at(times_ms: &[u64]) -> Rejections {
    let mut rejections = Rejections::default();
    for ms in times_ms {
        rejections.record(at(*ms), rejection(at(ms - 1)));
    }
    rejections
}

fn update(in_a_row: u32, age_ms: u32) -> RejectionsUpdate {
    RejectionsUpdate {
        server: 1,
        in_a_row,
        age_ms,
    }
}

fn configuration(quota: Option<Quota>) -> Configuration {
    let workspace = Workspace {
        name: "w1".into(),
        keys: vec!["k1".to_owned()],
        priority: None,
        isolated: false,
        quota,
    };
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    Configuration::new(1, Vec::new(), vec![workspace], Vec::new(), limits)
}

fn quota() -> Option<Quota> {
    Some(Quota {
        rate_per_s: 1,
        burst: 1,
        unit: QuotaUnit::Requests,
    })
}

fn place(
    fleet: &Fleet,
    weights: &Weights,
    quota: Option<Quota>,
    request: &PlacementRequest<'_>,
    now: Time,
) -> Result<Choice, Unplaceable> {
    let configuration = configuration(quota);
    let mut fleet = fleet.clone();
    let routers = Routers {
        own_hash: 1,
        count: 1,
    };
    fleet.renew_rooms(now, SERVICE, routers, RoomNeed::Usual);
    let placement = Placement {
        fleet: &fleet,
        residency: &Residency::default(),
        weights,
        stores: PrefixStores {
            configuration: Some(&configuration),
            regions: &BTreeMap::new(),
        },
        limits_room: configuration.has_quotas(),
        domain: "a",
        now,
    };
    placement.choose(request)
}

fn weights() -> Weights {
    no_weights(5_000)
}

#[test]
fn each_rejection_in_a_row_doubles_the_time_without_requests() {
    let times_ms = [1_000, 1_300, 1_900, 3_000, 5_100];
    let back_offs_ms: Vec<u64> = (1..=times_ms.len())
        .map(|count| {
            let until = rejected_at(&times_ms[..count]).until();
            until.millis_since(at(times_ms[count - 1]))
        })
        .collect();
    assert_eq!(back_offs_ms, [250, 500, 1_000, 2_000, 2_000]);
}

#[test]
fn requests_that_waited_together_count_as_one_rejection() {
    let mut rejections = rejected_at(&[1_000]);
    for _ in 0..20 {
        assert!(!rejections.record(at(1_001), rejection(at(900))));
    }
    assert_eq!(rejections.in_a_row(at(1_001)), 1);
}

#[test]
fn a_response_to_a_later_request_ends_the_row() {
    let mut rejections = rejected_at(&[1_000, 1_300]);
    assert!(!rejections.record_ran(at(1_350), at(900)));
    assert_eq!(rejections.in_a_row(at(1_350)), 2);
    assert!(rejections.record_ran(at(1_900), at(1_850)));
    assert_eq!(rejections.in_a_row(at(1_900)), 0);
    assert!(rejections.until() <= at(1_900));
}

#[test]
fn a_row_is_forgotten_so_that_a_server_without_requests_is_not_avoided_for_good() {
    let rejections = rejected_at(&[1_000, 1_300, 1_900]);
    assert_eq!(rejections.in_a_row(at(7_800)), 3);
    assert_eq!(rejections.in_a_row(at(7_900)), 0);
}

#[test]
fn a_router_learns_the_row_of_others_and_its_end() {
    let mut rejections = Rejections::default();
    assert!(rejections.merge(Arrival::at(at(1_000)), update(2, 10), 40));
    assert_eq!(rejections.until(), at(990 + 500 + 40));
    assert!(!rejections.merge(Arrival::at(at(1_100)), update(2, 110), 40));
    assert!(rejections.merge(Arrival::at(at(1_400)), update(0, 5), 40));
    assert_eq!(rejections.in_a_row(at(1_400)), 0);
}

#[test]
fn an_older_message_does_not_undo_a_newer_one() {
    let mut rejections = rejected_at(&[1_000, 2_000]);
    assert!(!rejections.merge(Arrival::at(at(2_050)), update(0, 500), 0));
    assert!(!rejections.merge(Arrival::at(at(2_050)), update(1, 1_050), 0));
    assert_eq!(rejections.in_a_row(at(2_050)), 2);
}

#[test]
fn a_server_that_rejected_gets_one_request_as_a_test_after_the_back_off() {
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    let rejections = rejected_at(&[1_000]);
    fleet.get_mut(key).unwrap().rejections = rejections;
    let place = |fleet: &Fleet, ms| place(fleet, &weights(), quota(), &request(&LONG), at(ms));

    assert!(place(&fleet, 1_249).is_err());
    assert!(place(&fleet, 1_250).is_ok());
    fleet.begin_request(at(1_250), key, 0);
    assert!(place(&fleet, 1_260).is_err());
    fleet.end_waiting(key);
    let server = fleet.get_mut(key).unwrap();
    server.rejections.record_ran(at(1_270), at(1_250));
    assert!(place(&fleet, 1_270).is_ok());
}

#[test]
fn a_rejected_request_is_not_retried_at_a_server_known_to_reject() {
    // Arrange
    let mut fleet = fleet(3, 1);
    let keys = keys(&fleet);
    for key in &keys[..2] {
        fleet.get_mut(*key).unwrap().rejections = rejected_at(&[1_000]);
    }
    for _ in 0..20 {
        fleet.begin_request(at(0), keys[2], 0);
    }
    let tried = [keys[0]];
    let retry = PlacementRequest {
        tried: &tried,
        ..request(&LONG)
    };

    // Act
    let choice = place(&fleet, &weights(), quota(), &retry, at(1_300));

    // Assert
    assert_eq!(choice.unwrap().server, keys[2]);
}

#[test]
fn few_requests_wait_at_an_engine_whose_order_is_pending() {
    // Arrange
    let mut fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    for _ in 0..24 {
        fleet.begin_request(at(0), key, 0);
    }
    let mut announced = weights();
    announce_now(&mut announced, at(0), 2);
    let place = |weights: &Weights, quota| place(&fleet, weights, quota, &request(&LONG), at(10));

    // Act and assert
    assert!(place(&weights(), quota()).is_ok());
    assert!(matches!(
        place(&announced, quota()),
        Err(Unplaceable::Full { .. })
    ));
    assert!(place(&announced, None).is_ok());
}

#[test]
fn messages_of_earlier_versions_which_end_before_the_rejections_are_read() {
    let message = Gossip {
        from: 7,
        routers: Some(9),
        ..Gossip::default()
    };
    let bytes = postcard::to_stdvec(&message).unwrap();
    let earlier = &bytes[..bytes.len() - 2];
    assert_eq!(postcard::from_bytes::<Gossip>(earlier).unwrap(), message);
}
