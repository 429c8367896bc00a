//! Requests that crash backend servers.

mod common;

use common::at;
use relay::Strike;
use relay::Strikes;

const GUILTY: u64 = 1;

fn strike(request: u64, server: u64) -> Strike {
    Strike { request, server }
}

#[test]
fn a_request_is_out_after_it_broke_three_lifetimes() {
    let mut strikes = Strikes::default();
    for server in [10, 11] {
        strikes.add(at(0), strike(GUILTY, server));
    }
    assert!(!strikes.is_poison(at(1), GUILTY));
    strikes.add(at(2), strike(GUILTY, 12));
    assert!(strikes.is_poison(at(3), GUILTY));
}

#[test]
fn its_neighbours_are_not_out() {
    let mut strikes = Strikes::default();
    for server in [10, 11, 12] {
        strikes.add(at(0), strike(GUILTY, server));
        strikes.add(at(0), strike(100 + server, server));
    }
    assert!(!strikes.is_poison(at(1), 110));
}

#[test]
fn one_lifetime_counts_once_however_often_it_is_told() {
    let mut strikes = Strikes::default();
    assert!(strikes.add(at(0), strike(GUILTY, 10)));
    assert!(!strikes.add(at(1), strike(GUILTY, 10)));
    assert!(!strikes.is_poison(at(2), GUILTY));
}

#[test]
fn strikes_are_forgotten_in_time_and_under_a_flood() {
    let mut strikes = Strikes::default();
    for server in [10, 11, 12] {
        strikes.add(at(0), strike(GUILTY, server));
    }
    assert!(!strikes.is_poison(at(200_000), GUILTY));
    for request in 0..20_000 {
        strikes.add(at(0), strike(request, 10));
    }
}
