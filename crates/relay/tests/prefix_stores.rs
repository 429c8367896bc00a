//! Long prompts whose shared prefixes don't all fit into the engines' caches: which
//! prefixes are saved to a prefix store, and which engines fetch them.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use common::at;
use common::no_weights;
use common::part;
use common::registration;
use common::request;
use common::LONG;
use common::SERVICE;
use policy::Time;
use relay::CallerLimits;
use relay::Choice;
use relay::Configuration;
use relay::Fleet;
use relay::PartKey;
use relay::PartSource;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStore;
use relay::PrefixStores;
use relay::PromptPart;
use relay::Residency;
use relay::ServerKey;
use relay::ServiceSpec;
use relay::Transfer;
use relay::Weights;

const SHORT: [PromptPart; 2] = [
    PromptPart { id: 11, tokens: 90 },
    PromptPart {
        id: 12,
        tokens: 290,
    },
];

/// Time in milliseconds after which unused prefixes have been evicted from all engines.
const EVICTED_MS: u64 = 8_000;

fn store_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn store(name: &str, domain: &str, port: u16) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        max_connections: None,
        memory_tokens: None,
        token_bytes: 0,
        prefix_store: Some(PrefixStore {
            address: store_address(port),
            domain: domain.into(),
            link_mbps: 290_000,
        }),
        health_path: None,
    }
}

struct TestCluster {
    fleet: Fleet,
    residency: Residency,
    weights: Weights,
    configuration: Configuration,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    now: Time,
}

impl TestCluster {
    /// Creates four engines in each of two failure domains, each in its own region.
    fn new(mut services: Vec<ServiceSpec>) -> TestCluster {
        services.push(ServiceSpec {
            name: SERVICE.into(),
            max_connections: None,
            memory_tokens: Some(129_306),
            token_bytes: 163_840,
            prefix_store: None,
            health_path: None,
        });
        let limits = CallerLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        };
        let mut fleet = Fleet::default();
        for i in 0..8 {
            let mut registration = registration(&format!("e{i}"), 1);
            registration.domain = if i < 4 { "a".into() } else { "b".into() };
            fleet.apply(at(0), registration);
        }
        TestCluster {
            fleet,
            residency: Residency::default(),
            weights: no_weights(5_000),
            configuration: Configuration::new(1, Vec::new(), Vec::new(), services, limits),
            regions: [("a".into(), "east".into()), ("b".into(), "west".into())].into(),
            now: at(10),
        }
    }

    fn place(&self, parts: &[PromptPart]) -> Choice {
        let placement = Placement {
            fleet: &self.fleet,
            residency: &self.residency,
            weights: &self.weights,
            stores: PrefixStores {
                configuration: Some(&self.configuration),
                regions: &self.regions,
            },
            limits_room: false,
            domain: "b",
            now: self.now,
        };
        let request = PlacementRequest {
            deadline: self.now.plus_millis(10_000),
            ..request(parts)
        };
        placement.choose(&request).unwrap()
    }

    /// Places a prompt and records that it was sent there.
    fn send(&mut self, parts: &[PromptPart]) -> Choice {
        let choice = self.place(parts);
        let part = choice.shared_prefix.unwrap();
        let residency = &mut self.residency;
        residency.record(self.now, part, choice.server, choice.transfer);
        choice
    }

    fn domain(&self, key: ServerKey) -> &str {
        &self.fleet.get(key).unwrap().registration.domain
    }

    /// Sends prompts until one is placed in a failure domain, and returns its parts.
    fn send_until_placed_in(&mut self, domain: &str) -> [PromptPart; 2] {
        let prompts = (100..200).map(|id| [part(id, 13_300), LONG[1]]);
        for parts in prompts {
            let choice = self.send(&parts);
            if self.domain(choice.server) == domain {
                return parts;
            }
        }
        panic!("no prompt went to {domain}");
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.plus_millis(ms);
    }
}

#[test]
fn a_prefix_is_saved_once_to_the_store_near_its_engine() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let first = cluster.send(&LONG);
    let second = cluster.send(&LONG);
    let near = if cluster.domain(first.server) == "a" {
        1
    } else {
        2
    };
    assert_eq!(first.save_to(), Some(store_address(near)));
    assert_eq!(second.save_to(), None);
}

#[test]
fn an_engine_with_no_store_in_its_region_saves_nothing() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("b");
    cluster.wait(100);
    let again = cluster.place(&parts);
    assert!(again.caches_prefix);
    assert_eq!(again.save_to(), None);
}

#[test]
fn an_evicted_prefix_is_fetched_from_the_store_that_keeps_it() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("a");
    cluster.wait(EVICTED_MS);
    let again = cluster.place(&parts);
    assert_eq!(cluster.domain(again.server), "a");
    assert!(!again.caches_prefix);
    assert_eq!(again.fetch_from, Some(PartSource::Store(store_address(1))));
}

#[test]
fn a_fetched_prefix_does_not_count_as_prefill() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("a");
    cluster.wait(EVICTED_MS);
    let fetched = cluster.place(&parts);
    let unknown = cluster.place(&LONG);
    assert!(fetched.prefill_ms < unknown.prefill_ms / 2.0);
}

#[test]
fn a_prefix_is_fetched_by_an_idle_engine_if_the_one_that_caches_it_is_overloaded() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("a");
    let holder = cluster.place(&parts).server;
    cluster.fleet.begin_request(cluster.now, holder, 800);
    let again = cluster.place(&parts);
    assert_ne!(again.server, holder);
    assert_eq!(again.fetch_from, Some(PartSource::Store(store_address(1))));
}

#[test]
fn a_reused_prefix_in_no_store_goes_to_an_engine_near_a_store() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let mut saved = 0;
    for id in 300..340 {
        let parts = [part(id, 13_300), LONG[1]];
        cluster.send(&parts);
        cluster.wait(EVICTED_MS);
        let again = cluster.send(&parts);
        saved += usize::from(cluster.domain(again.server) == "a");
    }
    assert!(saved > 20, "{saved} of 40");
}

#[test]
fn a_prefix_saved_long_ago_is_not_fetched() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("a");
    cluster.wait(60_000);
    let again = cluster.place(&parts);
    assert!(!matches!(again.fetch_from, Some(PartSource::Store(_))));
}

#[test]
fn short_shared_parts_are_neither_saved_nor_fetched() {
    let cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let choice = cluster.place(&SHORT);
    assert_eq!(choice.save_to(), None);
    assert_eq!(choice.fetch_from, None);
}

#[test]
fn a_store_in_the_same_failure_domain_is_preferred_to_others_of_the_region() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    cluster.regions = [("a".into(), "east".into()), ("b".into(), "east".into())].into();
    let stores = PrefixStores {
        configuration: Some(&cluster.configuration),
        regions: &cluster.regions,
    };
    assert_eq!(stores.near("b").unwrap().address, store_address(2));
    assert_eq!(stores.near("a").unwrap().address, store_address(1));
}

#[test]
fn a_store_of_another_region_is_not_near() {
    let cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let stores = PrefixStores {
        configuration: Some(&cluster.configuration),
        regions: &cluster.regions,
    };
    assert_eq!(stores.near("b"), None);
}

#[test]
fn nothing_is_saved_while_the_link_has_a_long_queue() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let prompts = (500..600).map(|id| [part(id, 13_300), LONG[1]]);
    let choices: Vec<Choice> = prompts.map(|parts| cluster.send(&parts)).collect();
    let saved = choices.iter().filter(|choice| choice.save_to().is_some());
    assert!((2..10).contains(&saved.count()));
}

#[test]
fn a_repeated_update_of_a_transfer_counts_once() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let choice = cluster.send(&LONG);
    let store = choice.save_to().unwrap();
    let once_ms = cluster.residency.link_wait_ms(cluster.now, store);
    let part = choice.shared_prefix.unwrap();
    for _ in 0..4 {
        let residency = &mut cluster.residency;
        residency.record(cluster.now, part, choice.server, choice.transfer);
    }
    assert!(once_ms > 50);
    assert_eq!(cluster.residency.link_wait_ms(cluster.now, store), once_ms);
}

#[test]
fn a_prefix_is_prefilled_again_if_the_wait_for_the_link_is_long() {
    let mut cluster = TestCluster::new(vec![store("s", "a", 1)]);
    let parts = cluster.send_until_placed_in("a");
    cluster.wait(EVICTED_MS);
    let fetch = cluster.place(&parts);
    let busy = Transfer {
        link_ms: 1_500,
        ..fetch.transfer.unwrap()
    };
    cluster
        .residency
        .record(cluster.now, PartKey(77), fetch.server, Some(busy));
    let again = cluster.place(&parts);
    assert!(!matches!(again.fetch_from, Some(PartSource::Store(_))));
}
