//! Which routers speak to which.

mod common;

use common::at;
use relay::Member;
use relay::Topology;

fn member(region: u64) -> Member {
    Member {
        region,
        capacity: 1,
    }
}

/// Returns the routers 1 to `count` in three regions, as router `me` sees them.
fn topology(me: u64, count: u64) -> Topology {
    let mut topology = Topology::new(me, member(me % 3));
    for mark in 1..=count {
        topology.add(mark, member(mark % 3));
    }
    topology
}

#[test]
fn a_few_routers_speak_to_all_others() {
    let mut topology = topology(1, 9);
    assert_eq!(topology.recipients(at(0)).len(), 8);
}

#[test]
fn the_messages_of_many_routers_grow_with_their_number_only() {
    let messages = |count| -> usize {
        let audiences = (1..=count).map(|me| topology(me, count).recipients(at(0)).len());
        audiences.sum()
    };
    assert!(messages(90) <= 2 * 90 + 6);
    assert!(messages(330) <= 2 * 330 + 6);
}

#[test]
fn all_routers_of_a_region_find_the_same_hub() {
    let hubs: Vec<u64> = (1..=30)
        .filter(|me| topology(*me, 30).is_hub(at(0)))
        .collect();
    assert_eq!(hubs.len(), 3);
}

#[test]
fn the_hub_is_one_that_can_carry_most() {
    let mut topology = topology(1, 30);
    let strong = Member {
        region: 1,
        capacity: 9,
    };
    topology.add(28, strong);
    assert_eq!(topology.recipients(at(0)), [28]);
}

#[test]
fn a_silent_hub_is_passed_over_and_a_heard_one_kept() {
    let mut topology = topology(1, 30);
    let hub = topology.recipients(at(0));
    topology.record_message(at(800), hub[0]);
    assert_eq!(topology.recipients(at(1_500)), hub);
    let next = topology.recipients(at(3_000));
    assert_ne!(next, hub);
    topology.record_message(at(3_100), hub[0]);
    assert_eq!(topology.recipients(at(3_200)), hub);
}

#[test]
fn a_router_alone_reads_for_itself() {
    let mut topology = Topology::new(1, member(1));
    assert_eq!(topology.registration_reader(at(0)), 1);
    assert!(topology.recipients(at(0)).is_empty());
}
