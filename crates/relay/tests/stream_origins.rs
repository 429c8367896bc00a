//! Streams whose router was killed, taken up at another one while servers of two builds serve.

mod common;

use common::at;
use common::fleet;
use common::registration;
use common::SERVICE;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::Build;
use relay::Member;
use relay::StreamId;
use relay::StreamKnowledge;
use relay::StreamOrigin;
use relay::StreamOrigins;
use relay::Topology;

/// Streams of a simulation.
const STREAMS: u64 = 300;

/// Routers that are notified of a stream, and that are asked.
const NOTIFIED: usize = 3;
const ASKED: usize = 8;

/// Share of the routers that are killed.
const KILLED: f64 = 0.35;

fn origin(number: u64, build: &str) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId::new(&format!("stream-{number}")),
        build: Build::new(build),
    }
}

fn topology(me: u64, routers: u64) -> Topology {
    let member = |router: u64| Member {
        region: router % 3,
        capacity: 1,
    };
    let mut topology = Topology::new(me, member(me));
    for other in 0..routers {
        topology.add(other, member(other));
    }
    topology
}

/// Returns what a router knows that has seen some builds.
fn knowledge(recorded: Option<&str>, builds: &[&str], is_history_known: bool) -> StreamKnowledge {
    StreamKnowledge::new(recorded.map(Build::new), &all(builds), is_history_known)
}

fn all(builds: &[&str]) -> Vec<Build> {
    builds.iter().map(|build| Build::new(build)).collect()
}

/// Returns the share of the streams of killed routers whose build a router that lives finds out.
fn share_known(routers: u64, loss: f64, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let topologies: Vec<Topology> = (0..routers).map(|me| topology(me, routers)).collect();
    let mut origins = vec![StreamOrigins::default(); routers as usize];
    let killed: Vec<bool> = (0..routers)
        .map(|r| r == 0 || rng.random_bool(KILLED))
        .collect();
    let Some(living) = killed.iter().rposition(|killed| !killed) else {
        return 1.0;
    };
    let mut known = 0;
    for number in 0..STREAMS {
        let origin = origin(number, "v1");
        let hash = origin.stream.hash();
        for router in topologies[0].keepers(hash, NOTIFIED, |_| true) {
            if !rng.random_bool(loss) {
                origins[router as usize].record(at(0), origin);
            }
        }
        let mut asked = topologies[living].keepers(hash, ASKED, |_| true);
        asked.push(living as u64);
        let knows = |router: &u64| {
            !killed[*router as usize] && origins[*router as usize].build(origin.stream).is_some()
        };
        known += u64::from(asked.iter().any(knows));
    }
    known as f64 / STREAMS as f64
}

#[test]
fn after_a_third_of_the_routers_died_nearly_all_of_their_streams_are_known() {
    for routers in [9, 30, 300] {
        for loss in [0.0, 0.05] {
            let shares = (0..10).map(|seed| share_known(routers, loss, seed));
            let share = shares.sum::<f64>() / 10.0;
            assert!(share > 0.9, "{routers} routers, loss {loss}: {share:.3}");
        }
    }
}

#[test]
fn each_stream_is_told_to_other_routers_of_several_regions() {
    let topology = topology(4, 9);
    let notified = topology.keepers(7, NOTIFIED, |_| true);
    let regions: std::collections::BTreeSet<u64> =
        notified.iter().map(|router| router % 3).collect();
    assert_eq!((notified.len(), regions.len()), (3, 3));
    assert!(!notified.contains(&4));
}

#[test]
fn the_first_event_binds_a_stream_whatever_is_told_later() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), origin(1, "v1"));
    origins.record(at(10), origin(1, "v2"));
    let stream = StreamId::new("stream-1");
    assert_eq!(origins.build(stream), Some(Build::new("v1")));
}

#[test]
fn streams_are_forgotten_once_no_caller_waits_for_them_and_never_without_bound() {
    let mut origins = StreamOrigins::default();
    for number in 0..50_000 {
        origins.record(at(0), origin(number, "v1"));
    }
    assert_eq!(origins.build(origin(0, "v1").stream), None);
    assert!(origins.build(origin(49_999, "v1").stream).is_some());
    origins.record(at(30_000), origin(50_000, "v1"));
    assert_eq!(origins.build(origin(49_999, "v1").stream), None);
}

#[test]
fn only_streams_that_began_here_are_told_when_another_build_comes() {
    let mut origins = StreamOrigins::default();
    origins.begin(at(0), origin(1, "v1"));
    origins.record(at(0), origin(2, "v1"));
    origins.record(at(10), origin(1, "v1"));
    assert_eq!(origins.begun_here(), [origin(1, "v1")]);
}

#[test]
fn a_stream_goes_on_at_the_build_that_any_router_has_recorded() {
    let builds = all(&["v1", "v2"]);
    let other = knowledge(Some("v2"), &["v2"], false);
    let build = knowledge(None, &["v1", "v2"], true).build(&[other], &builds);
    assert_eq!(build, Some(Build::new("v2")));
}

#[test]
fn a_stream_that_nobody_recorded_goes_on_only_if_a_router_knows_that_there_was_but_one_build() {
    let only = Some(Build::new("v1"));
    let (long, new) = (
        knowledge(None, &["v1"], true),
        knowledge(None, &["v1"], false),
    );
    assert_eq!(long.build(&[], &all(&["v1"])), only);
    assert_eq!(new.build(&[long], &all(&["v1"])), only);
    assert_eq!(new.build(&[new], &all(&["v1"])), None);
    assert_eq!(new.build(&[], &all(&["v1"])), None);
}

#[test]
fn a_stream_that_nobody_recorded_does_not_go_on_where_a_router_sees_another_build() {
    let other = knowledge(None, &["v1"], true);
    let own = knowledge(None, &["v1", "v2"], true);
    assert_eq!(own.build(&[other], &all(&["v1", "v2"])), None);
    assert_eq!(own.build(&[other], &all(&["v2"])), None);
}

#[test]
fn builds_of_servers_that_have_just_left_still_count() {
    let mut fleet = fleet(1, 1);
    let mut next = registration("e9", 1);
    next.build = "v2".into();
    fleet.apply(at(0), next);
    fleet.remove(at(10), "e0");
    assert_eq!(fleet.builds(at(29_000), SERVICE).len(), 2);
    assert_eq!(fleet.builds(at(31_000), SERVICE), [Build::new("v2")]);
}
