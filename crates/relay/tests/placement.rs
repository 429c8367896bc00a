//! Choice of the backend server for a request.

mod common;

use std::collections::BTreeMap;

use common::announce_now;
use common::at;
use common::fleet;
use common::keys;
use common::no_weights;
use common::part;
use common::registration;
use common::request;
use common::LONG;
use common::MODEL;
use policy::Time;
use relay::Build;
use relay::CachePartition;
use relay::Choice;
use relay::Fleet;
use relay::PartSource;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStores;
use relay::PromptPart;
use relay::Residency;
use relay::ServerKey;
use relay::StreamBuild;
use relay::Unplaceable;
use relay::Weights;

const SHORT: [PromptPart; 3] = [
    PromptPart { id: 11, tokens: 55 },
    PromptPart { id: 12, tokens: 37 },
    PromptPart {
        id: 13,
        tokens: 290,
    },
];

struct TestCluster {
    fleet: Fleet,
    residency: Residency,
    weights: Weights,
    now: Time,
}

impl TestCluster {
    fn new(engines: usize) -> TestCluster {
        TestCluster {
            fleet: fleet(engines, 1),
            residency: Residency::default(),
            weights: no_weights(5_000),
            now: at(10),
        }
    }

    fn place(&self, parts: &[PromptPart]) -> Result<Choice, Unplaceable> {
        self.place_request(&request(parts))
    }

    fn place_request(&self, request: &PlacementRequest<'_>) -> Result<Choice, Unplaceable> {
        let placement = Placement {
            fleet: &self.fleet,
            residency: &self.residency,
            weights: &self.weights,
            stores: PrefixStores {
                configuration: None,
                regions: &BTreeMap::new(),
            },
            limits_room: false,
            domain: "a",
            now: self.now,
        };
        placement.choose(request)
    }

    /// Adds `ms` of prefill to each engine's queue.
    fn add_load_to_all(&mut self, ms: u64) {
        for key in keys(&self.fleet) {
            self.fleet.begin_request(self.now, key, ms);
        }
    }
}

/// Returns a cluster of one engine that caches the shared prefixes of some prompts.
fn caching_prefixes_of(prompts: &[&[PromptPart]]) -> TestCluster {
    let mut cluster = TestCluster::new(1);
    for parts in prompts {
        let choice = cluster.place(parts).unwrap();
        let prefix = choice.shared_prefix.unwrap();
        cluster
            .residency
            .record(cluster.now, prefix, choice.server, None);
    }
    cluster
}

#[test]
fn requests_of_one_session_go_to_one_engine() {
    let cluster = TestCluster::new(6);
    let first = cluster.place(&SHORT).unwrap();
    let other_own_part = [SHORT[0], SHORT[1], part(99, 400)];
    let second = cluster.place(&other_own_part).unwrap();
    assert_eq!(first.server, second.server);
}

#[test]
fn sessions_spread_over_the_engines() {
    let cluster = TestCluster::new(6);
    let mut chosen: Vec<_> = (0..60)
        .map(|session| [SHORT[0], part(1_000 + session, 37), SHORT[2]])
        .map(|parts| cluster.place(&parts).unwrap().server)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 6);
}

#[test]
fn sessions_with_long_histories_spread_though_they_begin_with_the_same_instructions() {
    let cluster = TestCluster::new(6);
    let mut chosen: Vec<_> = (0..60)
        .map(|session| [part(1, 1_200), part(1_000 + session, 4_900), part(2, 6_600)])
        .map(|parts| cluster.place(&parts).unwrap().server)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 6);
}

#[test]
fn a_shared_prefix_includes_the_instructions_before_a_long_history() {
    let nested = [part(1, 600), part(5, 4_900), part(2, 6_600)];
    let single = [part(9, 5_500), part(2, 6_600)];
    let other_history = [part(1, 600), part(6, 4_900), part(2, 6_600)];
    let cluster = caching_prefixes_of(&[&nested, &single]);
    let nested = cluster.place(&nested).unwrap();
    assert!(nested.caches_prefix);
    assert_eq!(
        nested.prefill_ms,
        cluster.place(&single).unwrap().prefill_ms
    );
    assert!(!cluster.place(&other_history).unwrap().caches_prefix);
}

#[test]
fn sessions_with_short_histories_share_the_engine_of_their_long_first_part() {
    let cluster = TestCluster::new(6);
    let mut chosen: Vec<_> = (0..60)
        .map(|session| [LONG[0], part(1_000 + session, 600), LONG[1]])
        .map(|parts| cluster.place(&parts).unwrap().server)
        .collect();
    chosen.dedup();
    assert_eq!(chosen.len(), 1);
}

#[test]
fn a_request_goes_to_the_engine_that_caches_its_prefix_and_reuses_it() {
    let mut cluster = TestCluster::new(6);
    let first = cluster.place(&LONG).unwrap();
    let holder = keys(&cluster.fleet)
        .into_iter()
        .find(|key| *key != first.server)
        .unwrap();
    cluster
        .residency
        .record(cluster.now, first.shared_prefix.unwrap(), holder, None);
    let second = cluster.place(&LONG).unwrap();
    assert_eq!(second.server, holder);
    assert!(second.caches_prefix);
    assert!(second.prefill_ms < first.prefill_ms / 2.0);
}

#[test]
fn a_prefix_is_copied_to_another_engine_only_if_the_one_that_caches_it_is_overloaded() {
    let mut cluster = TestCluster::new(3);
    let first = cluster.place(&LONG).unwrap();
    cluster.residency.record(
        cluster.now,
        first.shared_prefix.unwrap(),
        first.server,
        None,
    );
    cluster.fleet.begin_request(cluster.now, first.server, 300);
    assert_eq!(cluster.place(&LONG).unwrap().server, first.server);
    cluster
        .fleet
        .begin_request(cluster.now, first.server, 3_000);
    let second = cluster.place(&LONG).unwrap();
    assert_ne!(second.server, first.server);
    assert_eq!(second.fetch_from, Some(PartSource::Engine(first.server)));
}

#[test]
fn under_overload_long_uncached_prompts_are_refused_and_short_ones_placed() {
    let mut cluster = TestCluster::new(4);
    cluster.add_load_to_all(2_000);
    let long = cluster.place(&LONG);
    assert!(matches!(long, Err(Unplaceable::TooLate { .. })), "{long:?}");
    cluster.place(&SHORT).unwrap();
}

#[test]
fn under_overload_long_cached_prompts_are_placed() {
    let mut cluster = TestCluster::new(4);
    let first = cluster.place(&LONG).unwrap();
    cluster.residency.record(
        cluster.now,
        first.shared_prefix.unwrap(),
        first.server,
        None,
    );
    cluster.add_load_to_all(2_000);
    assert_eq!(cluster.place(&LONG).unwrap().server, first.server);
}

// Guards against LOST: streams that callers take up are refused while new ones of the same length
// begin, as they find room at the servers of one build only.
#[test]
fn under_overload_a_long_stream_that_goes_on_is_placed() {
    let mut cluster = TestCluster::new(4);
    cluster.add_load_to_all(2_000);
    let mut request = request(&LONG);
    request.stream_build = StreamBuild::Only(Build::new("v1"));
    cluster.place_request(&request).unwrap();
}

#[test]
fn a_stream_whose_prompt_can_not_be_prefilled_in_time_does_not_go_on() {
    let cluster = TestCluster::new(4);
    let mut request = request(&LONG);
    request.stream_build = StreamBuild::Only(Build::new("v1"));
    request.deadline = cluster.now.plus_millis(20);
    let choice = cluster.place_request(&request);
    assert!(
        matches!(choice, Err(Unplaceable::TooLate { .. })),
        "{choice:?}"
    );
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_with_a_retry_time() {
    let mut cluster = TestCluster::new(2);
    cluster.add_load_to_all(70_000);
    let refused = cluster.place(&SHORT).unwrap_err();
    assert!(matches!(refused, Unplaceable::TooLate { .. }));
    assert!(refused.retry_after_ms() >= 150);
}

#[test]
fn an_unresponsive_engine_gets_no_more_requests() {
    let mut cluster = TestCluster::new(3);
    let preferred = cluster.place(&SHORT).unwrap().server;
    cluster.fleet.begin_request(cluster.now, preferred, 5);
    cluster.now = at(700);
    assert_ne!(cluster.place(&SHORT).unwrap().server, preferred);
}

#[test]
fn an_engine_in_a_long_prefill_does_not_count_as_unresponsive() {
    let mut cluster = TestCluster::new(1);
    let engine = keys(&cluster.fleet)[0];
    cluster.fleet.begin_request(cluster.now, engine, 1_500);
    cluster.now = at(1_510);
    assert_eq!(
        cluster
            .fleet
            .get(engine)
            .unwrap()
            .unresponsive_ms(cluster.now),
        0
    );
    cluster.now = at(5_010);
    assert!(
        cluster
            .fleet
            .get(engine)
            .unwrap()
            .unresponsive_ms(cluster.now)
            > 1_500
    );
}

#[test]
fn an_engine_that_loads_weights_gets_no_requests() {
    let mut cluster = TestCluster::new(2);
    let preferred = cluster.place(&SHORT).unwrap().server;
    cluster.fleet.get_mut(preferred).unwrap().switching_until = at(900);
    assert_ne!(cluster.place(&SHORT).unwrap().server, preferred);
}

#[test]
fn if_all_engines_load_weights_the_retry_time_is_that_of_the_first_to_be_ready() {
    let mut cluster = TestCluster::new(2);
    for key in keys(&cluster.fleet) {
        cluster.fleet.get_mut(key).unwrap().switching_until = at(410);
    }
    let refused = cluster.place(&SHORT).unwrap_err();
    assert_eq!(
        refused,
        Unplaceable::NoneReady {
            retry_after_ms: 400
        }
    );
}

#[test]
fn replaced_weights_are_used_for_a_while_then_avoided_then_refused() {
    let mut cluster = TestCluster::new(2);
    announce_now(&mut cluster.weights, at(0), 2);
    let old = cluster.place(&SHORT).unwrap().server;
    let newer = keys(&cluster.fleet)
        .into_iter()
        .find(|k| *k != old)
        .unwrap();
    cluster
        .fleet
        .get_mut(newer)
        .unwrap()
        .record_weights(MODEL, 2);
    cluster.now = at(2_000);
    assert_eq!(cluster.place(&SHORT).unwrap().server, newer);
    cluster.now = at(6_000);
    cluster.fleet.get_mut(newer).unwrap().avoid_until = at(7_000);
    assert!(cluster.place(&SHORT).is_err());
}

#[test]
fn a_returning_engine_with_overdue_weights_gets_no_requests() {
    let mut cluster = TestCluster::new(1);
    announce_now(&mut cluster.weights, at(0), 2);
    cluster.fleet.apply(at(9_000), registration("returned", 1));
    cluster.now = at(9_100);
    assert!(matches!(
        cluster.place(&SHORT),
        Err(Unplaceable::NoneReady { .. })
    ));
}

// Guards against VERSION: a request whose model can't be read is sent to an engine with old weights.
#[test]
fn a_request_without_a_model_gets_no_engine_with_overdue_weights() {
    let mut cluster = TestCluster::new(1);
    announce_now(&mut cluster.weights, at(0), 2);
    let request = PlacementRequest {
        prompt: None,
        ..request(&SHORT)
    };
    cluster.now = at(4_900);
    assert!(cluster.place_request(&request).is_ok());

    cluster.now = at(5_000);
    assert!(cluster.place_request(&request).is_err());
}

#[test]
fn a_request_that_would_begin_too_late_on_replaced_weights_is_not_queued_for_them() {
    let mut cluster = TestCluster::new(1);
    announce_now(&mut cluster.weights, at(0), 2);
    cluster.now = at(4_500);
    assert!(cluster.place(&SHORT).is_ok());
    cluster.add_load_to_all(1_500);
    assert!(cluster.place(&SHORT).is_err());
}

/// Returns a request with a long prompt that was sent to some engines before.
fn request_after(tried: &[ServerKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        tried,
        ..request(&LONG)
    }
}

#[test]
fn software_versions_have_their_own_cache_scopes() {
    let scope = |build| relay::cache_scope(3, Build::new(build), CachePartition::default());
    assert_ne!(scope("v1"), scope("v1.1"));
}

#[test]
fn no_engine_of_another_software_version_is_taken_for_the_likely_source_of_a_prefix() {
    let mut cluster = TestCluster::new(1);
    let mut newer = registration("e9", 1);
    newer.build = "v2".into();
    cluster.fleet.apply(at(0), newer);
    assert_eq!(cluster.place(&LONG).unwrap().fetch_from, None);
}

#[test]
fn an_engine_copies_no_prefix_from_one_of_another_software_version() {
    let mut cluster = TestCluster::new(1);
    let mut newer = registration("e9", 1);
    newer.build = "v2".into();
    cluster.fleet.apply(at(0), newer);
    let older = cluster.fleet.by_id("e0").unwrap();
    let newer = cluster.fleet.by_id("e9").unwrap();
    let at_older = cluster.place_request(&request_after(&[newer])).unwrap();
    let part = at_older.shared_prefix.unwrap();
    cluster.residency.record(at(0), part, older, None);

    let at_newer = cluster.place_request(&request_after(&[older])).unwrap();

    assert_eq!((at_newer.server, at_newer.fetch_from), (newer, None));
}
