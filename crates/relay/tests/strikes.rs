//! Detection of poison requests by their strikes.

mod common;

use common::at;
use relay::Strike;
use relay::Strikes;

const POISON: u64 = 1;

fn strike(request: u64, server: u64) -> Strike {
    Strike { request, server }
}

#[test]
fn a_request_is_poison_after_strikes_from_three_incarnations() {
    let mut strikes = Strikes::default();
    for server in [10, 11] {
        strikes.add(at(0), strike(POISON, server));
    }
    assert!(!strikes.is_poison(at(1), POISON));
    strikes.add(at(2), strike(POISON, 12));
    assert!(strikes.is_poison(at(3), POISON));
}

#[test]
fn co_located_requests_are_not_poison() {
    let mut strikes = Strikes::default();
    for server in [10, 11, 12] {
        strikes.add(at(0), strike(POISON, server));
        strikes.add(at(0), strike(100 + server, server));
    }
    assert!(!strikes.is_poison(at(1), 110));
}

#[test]
fn repeated_strikes_from_one_incarnation_count_once() {
    let mut strikes = Strikes::default();
    assert!(strikes.add(at(0), strike(POISON, 10)));
    assert!(!strikes.add(at(1), strike(POISON, 10)));
    assert!(!strikes.is_poison(at(2), POISON));
}

#[test]
fn strikes_expire_and_are_dropped_under_a_flood() {
    let mut strikes = Strikes::default();
    for server in [10, 11, 12] {
        strikes.add(at(0), strike(POISON, server));
    }
    assert!(!strikes.is_poison(at(200_000), POISON));
    for request in 0..20_000 {
        strikes.add(at(0), strike(request, 10));
    }
}
