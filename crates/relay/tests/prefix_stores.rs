//! The load of long prompts whose shared parts don't all fit into the engines'
//! memories: which are saved to a store, and who fetches them.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use common::ask;
use common::at;
use common::entry;
use common::part;
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

/// Time after which engines hold nothing any more of what isn't used.
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
    }
}

struct Scene {
    fleet: Fleet,
    residency: Residency,
    weights: Weights,
    configuration: Configuration,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    now: Time,
}

impl Scene {
    /// Four engines in each of two failure domains, each a region of its own.
    fn new(mut services: Vec<ServiceSpec>) -> Scene {
        services.push(ServiceSpec {
            name: SERVICE.into(),
            max_connections: None,
            memory_tokens: Some(129_306),
            token_bytes: 163_840,
            prefix_store: None,
        });
        let limits = CallerLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        };
        let mut fleet = Fleet::default();
        for i in 0..8 {
            let mut entry = entry(&format!("e{i}"), 1);
            entry.domain = if i < 4 { "a".into() } else { "b".into() };
            fleet.apply(at(0), entry);
        }
        Scene {
            fleet,
            residency: Residency::default(),
            weights: Weights::new(5_000, 2_500),
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
            domain: "b",
            now: self.now,
        };
        let ask = PlacementRequest {
            deadline: self.now.plus_millis(10_000),
            ..ask(parts)
        };
        placement.choose(&ask).unwrap()
    }

    /// Sends a prompt to where it is placed.
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

    /// Sends prompts until one goes to a failure domain; returns that one's parts.
    fn send_into(&mut self, domain: &str) -> [PromptPart; 2] {
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
fn a_part_is_saved_once_where_a_store_is_near() {
    let mut scene = Scene::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let first = scene.send(&LONG);
    let second = scene.send(&LONG);
    let near = if scene.domain(first.server) == "a" {
        1
    } else {
        2
    };
    assert_eq!(first.save_to(), Some(store_address(near)));
    assert_eq!(second.save_to(), None);
}

#[test]
fn an_engine_with_no_store_in_its_region_saves_nothing() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("b");
    scene.wait(100);
    let again = scene.place(&parts);
    assert!(again.caches_prefix);
    assert_eq!(again.save_to(), None);
}

#[test]
fn a_part_that_engines_hold_no_more_is_fetched_from_the_store_that_keeps_it() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("a");
    scene.wait(EVICTED_MS);
    let again = scene.place(&parts);
    assert_eq!(scene.domain(again.server), "a");
    assert!(!again.caches_prefix);
    assert_eq!(again.fetch_from, Some(PartSource::Store(store_address(1))));
}

#[test]
fn a_fetched_part_is_not_counted_as_reading_even_under_overload() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("a");
    scene.wait(EVICTED_MS);
    let fetched = scene.place(&parts);
    let unknown = scene.place(&LONG);
    assert!(fetched.reading_ms < unknown.reading_ms / 2.0);
}

#[test]
fn a_part_goes_to_an_idle_engine_near_its_store_when_its_holder_is_far_behind() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("a");
    let holder = scene.place(&parts).server;
    scene.fleet.begin_request(scene.now, holder, 800);
    let again = scene.place(&parts);
    assert_ne!(again.server, holder);
    assert_eq!(again.fetch_from, Some(PartSource::Store(store_address(1))));
}

#[test]
fn a_part_that_comes_again_and_is_kept_nowhere_goes_where_a_store_will_keep_it() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let mut kept = 0;
    for id in 300..340 {
        let parts = [part(id, 13_300), LONG[1]];
        scene.send(&parts);
        scene.wait(EVICTED_MS);
        let again = scene.send(&parts);
        kept += usize::from(scene.domain(again.server) == "a");
    }
    assert!(kept > 20, "{kept} of 40");
}

#[test]
fn what_a_store_kept_long_ago_is_not_relied_on() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("a");
    scene.wait(60_000);
    let again = scene.place(&parts);
    assert!(!matches!(again.fetch_from, Some(PartSource::Store(_))));
}

#[test]
fn short_shared_parts_go_to_no_store() {
    let scene = Scene::new(vec![store("s", "a", 1)]);
    let choice = scene.place(&SHORT);
    assert_eq!(choice.save_to(), None);
    assert_eq!(choice.fetch_from, None);
}

#[test]
fn the_store_of_the_failure_domain_goes_before_others_of_the_region() {
    let mut scene = Scene::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    scene.regions = [("a".into(), "east".into()), ("b".into(), "east".into())].into();
    let stores = PrefixStores {
        configuration: Some(&scene.configuration),
        regions: &scene.regions,
    };
    assert_eq!(stores.near("b").unwrap().address, store_address(2));
    assert_eq!(stores.near("a").unwrap().address, store_address(1));
}

#[test]
fn a_store_of_another_region_is_not_near() {
    let scene = Scene::new(vec![store("s", "a", 1)]);
    let stores = PrefixStores {
        configuration: Some(&scene.configuration),
        regions: &scene.regions,
    };
    assert_eq!(stores.near("b"), None);
}

#[test]
fn a_link_that_is_busy_is_kept_for_fetches() {
    let mut scene = Scene::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let prompts = (500..600).map(|id| [part(id, 13_300), LONG[1]]);
    let choices: Vec<Choice> = prompts.map(|parts| scene.send(&parts)).collect();
    let saved = choices.iter().filter(|choice| choice.save_to().is_some());
    assert!((2..10).contains(&saved.count()));
}

#[test]
fn the_same_news_of_a_transfer_counts_once() {
    let mut scene = Scene::new(vec![store("s", "a", 1), store("t", "b", 2)]);
    let choice = scene.send(&LONG);
    let store = choice.save_to().unwrap();
    let once_ms = scene.residency.link_wait_ms(scene.now, store);
    let part = choice.shared_prefix.unwrap();
    for _ in 0..4 {
        let residency = &mut scene.residency;
        residency.record(scene.now, part, choice.server, choice.transfer);
    }
    assert!(once_ms > 50);
    assert_eq!(scene.residency.link_wait_ms(scene.now, store), once_ms);
}

#[test]
fn a_part_behind_a_long_wait_for_the_link_is_read_again() {
    let mut scene = Scene::new(vec![store("s", "a", 1)]);
    let parts = scene.send_into("a");
    scene.wait(EVICTED_MS);
    let fetch = scene.place(&parts);
    let busy = Transfer {
        link_ms: 1_500,
        ..fetch.transfer.unwrap()
    };
    scene
        .residency
        .record(scene.now, PartKey(77), fetch.server, Some(busy));
    let again = scene.place(&parts);
    assert!(!matches!(again.fetch_from, Some(PartSource::Store(_))));
}
