//! Selection of a replica of a plain service.

mod common;

use std::collections::BTreeSet;

use policy::Action;
use policy::Dispatch;
use policy::Event;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::Node;

use crate::common::config;
use crate::common::lookup;
use crate::common::node;
use crate::common::step;
use crate::common::START;

fn member(vm: &str, region: &str, leaving: bool) -> Member {
    Member {
        name: vm.to_owned(),
        role: MemberRole::BackendServer,
        address: ([127, 0, 0, 1], 9_000).into(),
        region: region.to_owned(),
        failure_domain: format!("{region}-1"),
        incarnation: Incarnation(1),
        leaving,
    }
}

/// Sends lookups that get no response and returns the replicas they were dispatched to.
fn dispatched_replicas(node: &mut Node, calls: std::ops::Range<u64>) -> Vec<String> {
    calls
        .flat_map(|call| step(node, START, lookup(call)))
        .filter_map(|action| match action {
            Action::Dispatch(Dispatch { server_name, .. }) => Some(server_name),
            _ => None,
        })
        .collect()
}

#[test]
fn calls_are_spread_over_the_replicas() {
    let mut node = node(&config(1));

    let replicas = dispatched_replicas(&mut node, 0..10);

    let first = replicas
        .iter()
        .filter(|name| *name == "bookings/r1")
        .count();
    assert_eq!((first, replicas.len()), (5, 10));
}

#[test]
fn a_replica_that_is_leaving_gets_no_new_call() {
    let mut node = node(&config(1));
    let members = vec![member("r1", "east", true), member("r2", "east", false)];
    step(&mut node, START, Event::Members(members));

    let replicas: BTreeSet<String> = dispatched_replicas(&mut node, 0..10).into_iter().collect();

    assert_eq!(replicas, BTreeSet::from(["bookings/r2".to_owned()]));
}

#[test]
fn a_replica_in_the_region_of_the_router_is_preferred() {
    let mut node = node(&config(1));
    let members = vec![member("r1", "west", false), member("r2", "east", false)];
    step(&mut node, START, Event::Members(members));

    let replicas: BTreeSet<String> = dispatched_replicas(&mut node, 0..10).into_iter().collect();

    assert_eq!(replicas, BTreeSet::from(["bookings/r2".to_owned()]));
}
