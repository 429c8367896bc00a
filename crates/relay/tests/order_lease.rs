//! The order lease of one router, and all that two routers and the store may do with one.

mod common;
mod lease_walk;

use common::at;
use lease_walk::Bounds;
use lease_walk::Fault;
use lease_walk::Step;
use lease_walk::Walk;
use relay::EraStart;
use relay::LeaseBounds;
use relay::LeaseTerm;
use relay::OrderLease;
use relay::MAX_ORDER_MS;

/// Environment variable that makes the walks as large as by hand.
const FULL_WALKS: &str = "ORDER_LEASE_FULL";

/// Engines that don't check fencing tokens: orders of two holders are as far apart as the lease is long, or twice as far.
const UNFENCED: Bounds = Bounds { ttl: 4, wait: 4 };
const UNFENCED_LONG: Bounds = Bounds { ttl: 4, wait: 8 };

/// Engines that check them.
const FENCED: Bounds = Bounds { ttl: 4, wait: 1 };

/// Small bounds that show each fault.
const SMALL: Bounds = Bounds { ttl: 3, wait: 3 };

fn walk(bounds: Bounds, has_eras: bool, fault: Fault) -> Result<usize, Vec<Step>> {
    let walk = Walk {
        bounds,
        has_eras,
        fault,
    };
    let result = walk.run();
    match &result {
        Ok(states) => println!("{walk:?}: all of {states} states"),
        Err(steps) => {
            println!("{walk:?}: {} steps", steps.len());
            for step in steps {
                println!("  router {} {}", step.router, step.name);
            }
        }
    }
    result
}

// Guards against two holders that order one engine within the time that the operators allow, and against a lower
// fencing token after a higher one.
#[test]
fn no_two_holders_order_an_engine_within_the_least_time_between_them() {
    for bounds in [UNFENCED, UNFENCED_LONG, FENCED] {
        assert!(walk(bounds, false, Fault::None).is_ok());
    }
}

// Guards against the same after the store has come back from an older copy, also while calls are under way.
#[test]
fn no_two_holders_order_an_engine_too_early_after_the_store_has_lost_records() {
    let mut all = vec![SMALL];
    if std::env::var_os(FULL_WALKS).is_some() {
        all.extend([UNFENCED, UNFENCED_LONG]);
    }
    for bounds in all {
        assert!(walk(bounds, true, Fault::None).is_ok());
    }
}

#[test]
fn the_walk_finds_each_fault_that_breaks_the_bound() {
    for fault in [
        Fault::EndsEarly,
        Fault::EndsDuringOrder,
        Fault::CountsFromAnswer,
        Fault::MistakesAnswers,
    ] {
        assert!(walk(SMALL, false, fault).is_err(), "{fault:?}");
    }
    for fault in [
        Fault::EndsByNumber,
        Fault::IgnoresEra,
        Fault::TrustsFirstEra,
    ] {
        assert!(walk(SMALL, true, fault).is_err(), "{fault:?}");
    }
}

fn held(from_ms: u64, until_ms: u64) -> OrderLease {
    let mut order_lease = OrderLease::default();
    order_lease.begin(LeaseTerm {
        fence: 3,
        from: at(from_ms),
        until: at(until_ms),
    });
    order_lease
}

#[test]
fn no_order_is_sent_whose_response_could_arrive_after_the_lease_expires() {
    let mut order_lease = held(200, 1_500);
    assert!(!order_lease.allows_orders(at(100)));
    assert!(order_lease.allows_orders(at(300)));
    assert!(!order_lease.allows_orders(at(1_200)));
    order_lease.renew(at(1_000), 1_500);
    assert!(order_lease.allows_orders(at(1_200)));
}

#[test]
fn a_lease_is_given_back_once_the_latest_order_is_over() {
    let mut order_lease = held(0, 1_500);
    assert_eq!(order_lease.begin_order(at(500)), Some(3));
    assert_eq!(order_lease.begin_end(), Some(at(500 + MAX_ORDER_MS)));
    assert_eq!(order_lease.begin_order(at(510)), None);
    assert!(!order_lease.send_end(at(600)));
    assert!(order_lease.send_end(at(500 + MAX_ORDER_MS)));
    assert!(!order_lease.send_end(at(1_000)));
}

const LEASE_BOUNDS: LeaseBounds = LeaseBounds {
    fenced: false,
    ttl_ms: 1_500,
    holder_gap_ms: 3_000,
};

fn era_noted_at(ms: u64, knew_earlier: bool) -> EraStart {
    EraStart {
        noted_at: Some(at(ms)),
        knew_earlier,
    }
}

// Guards against orders while a holder whose lease the store has lost may still give some.
#[test]
fn a_holder_waits_for_a_term_that_the_store_may_have_lost() {
    for knew_earlier in [false, true] {
        let era = era_noted_at(400, knew_earlier);
        let from = LEASE_BOUNDS.first_order_at(at(500), era);
        assert_eq!(from, at(400 + 1_500 + 3_000));
        let from = LEASE_BOUNDS.first_order_at(at(9_000), era);
        assert_eq!(from, at(9_000 + 3_000));
    }
}

// Guards against orders that come late: a store that names no eras doesn't come back from older copies.
#[test]
fn a_holder_does_not_wait_longer_where_the_store_names_no_eras() {
    let from = LEASE_BOUNDS.first_order_at(at(500), EraStart::default());
    assert_eq!(from, at(500 + 3_000));
}

#[test]
fn a_holder_waits_less_where_engines_check_fencing_tokens() {
    let bounds = LeaseBounds {
        fenced: true,
        ..LEASE_BOUNDS
    };
    let first = |knew_earlier| bounds.first_order_at(at(500), era_noted_at(400, knew_earlier));
    assert_eq!(first(false), at(700));
    assert_eq!(first(true), at(400 + 3_000));
}
