//! Where requests go.

mod common;

use std::collections::BTreeMap;

use common::ask;
use common::at;
use common::entry;
use common::fleet;
use common::keys;
use common::part;
use common::LONG;
use common::MODEL;
use policy::Time;
use relay::Announcement;
use relay::Choice;
use relay::Fleet;
use relay::PartSource;
use relay::Placement;
use relay::PrefixStores;
use relay::PromptPart;
use relay::Residency;
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

struct Scene {
    fleet: Fleet,
    residency: Residency,
    weights: Weights,
    now: Time,
}

impl Scene {
    fn new(engines: usize) -> Scene {
        Scene {
            fleet: fleet(engines, 1),
            residency: Residency::default(),
            weights: Weights::new(5_000, 2_500),
            now: at(10),
        }
    }

    fn place(&self, parts: &[PromptPart]) -> Result<Choice, Unplaceable> {
        let placement = Placement {
            fleet: &self.fleet,
            residency: &self.residency,
            weights: &self.weights,
            stores: PrefixStores {
                configuration: None,
                regions: &BTreeMap::new(),
            },
            domain: "a",
            now: self.now,
        };
        placement.choose(&ask(parts))
    }

    /// Puts `ms` of reading before each engine's queue.
    fn load_all(&mut self, ms: u64) {
        for key in keys(&self.fleet) {
            self.fleet.begin_request(self.now, key, ms);
        }
    }
}

#[test]
fn requests_of_one_session_go_to_one_engine() {
    let scene = Scene::new(6);
    let first = scene.place(&SHORT).unwrap();
    let other_own_part = [SHORT[0], SHORT[1], part(99, 400)];
    let second = scene.place(&other_own_part).unwrap();
    assert_eq!(first.server, second.server);
}

#[test]
fn sessions_spread_over_the_engines() {
    let scene = Scene::new(6);
    let mut chosen: Vec<_> = (0..60)
        .map(|session| [SHORT[0], part(1_000 + session, 37), SHORT[2]])
        .map(|parts| scene.place(&parts).unwrap().server)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 6);
}

#[test]
fn a_held_part_is_gone_to_and_not_read_again() {
    let mut scene = Scene::new(6);
    let first = scene.place(&LONG).unwrap();
    let holder = keys(&scene.fleet)
        .into_iter()
        .find(|key| *key != first.server)
        .unwrap();
    scene
        .residency
        .record(scene.now, first.shared_prefix.unwrap(), holder, None);
    let second = scene.place(&LONG).unwrap();
    assert_eq!(second.server, holder);
    assert!(second.caches_prefix);
    assert!(second.reading_ms < first.reading_ms / 2.0);
}

#[test]
fn a_part_goes_elsewhere_only_when_its_holder_is_far_behind_and_is_fetched_from_there() {
    let mut scene = Scene::new(3);
    let first = scene.place(&LONG).unwrap();
    scene
        .residency
        .record(scene.now, first.shared_prefix.unwrap(), first.server, None);
    scene.fleet.begin_request(scene.now, first.server, 300);
    assert_eq!(scene.place(&LONG).unwrap().server, first.server);
    scene.fleet.begin_request(scene.now, first.server, 3_000);
    let second = scene.place(&LONG).unwrap();
    assert_ne!(second.server, first.server);
    assert_eq!(second.fetch_from, Some(PartSource::Engine(first.server)));
}

#[test]
fn under_overload_long_uncached_prompts_are_refused_and_short_ones_served() {
    let mut scene = Scene::new(4);
    scene.load_all(2_000);
    let long = scene.place(&LONG);
    assert!(matches!(long, Err(Unplaceable::TooLate { .. })), "{long:?}");
    scene.place(&SHORT).unwrap();
}

#[test]
fn under_overload_long_prompts_that_are_cached_are_served() {
    let mut scene = Scene::new(4);
    let first = scene.place(&LONG).unwrap();
    scene
        .residency
        .record(scene.now, first.shared_prefix.unwrap(), first.server, None);
    scene.load_all(2_000);
    assert_eq!(scene.place(&LONG).unwrap().server, first.server);
}

#[test]
fn what_would_miss_its_deadline_is_refused_with_a_time_to_come_back() {
    let mut scene = Scene::new(2);
    scene.load_all(70_000);
    let refused = scene.place(&SHORT).unwrap_err();
    assert!(matches!(refused, Unplaceable::TooLate { .. }));
    assert!(refused.retry_after_ms() >= 150);
}

#[test]
fn an_engine_that_leaves_requests_unanswered_gets_no_more() {
    let mut scene = Scene::new(3);
    let home = scene.place(&SHORT).unwrap().server;
    scene.fleet.begin_request(scene.now, home, 5);
    scene.now = at(700);
    assert_ne!(scene.place(&SHORT).unwrap().server, home);
}

#[test]
fn an_engine_that_reads_a_long_prompt_is_not_taken_for_silent() {
    let mut scene = Scene::new(1);
    let engine = keys(&scene.fleet)[0];
    scene.fleet.begin_request(scene.now, engine, 1_500);
    scene.now = at(1_510);
    assert_eq!(
        scene.fleet.get(engine).unwrap().unresponsive_ms(scene.now),
        0
    );
    scene.now = at(5_010);
    assert!(scene.fleet.get(engine).unwrap().unresponsive_ms(scene.now) > 1_500);
}

#[test]
fn an_engine_that_takes_weights_gets_no_requests() {
    let mut scene = Scene::new(2);
    let home = scene.place(&SHORT).unwrap().server;
    scene.fleet.get_mut(home).unwrap().switching_until = at(900);
    assert_ne!(scene.place(&SHORT).unwrap().server, home);
}

#[test]
fn when_all_take_weights_callers_are_told_when_the_first_is_back() {
    let mut scene = Scene::new(2);
    for key in keys(&scene.fleet) {
        scene.fleet.get_mut(key).unwrap().switching_until = at(410);
    }
    let refused = scene.place(&SHORT).unwrap_err();
    assert_eq!(
        refused,
        Unplaceable::NoneReady {
            retry_after_ms: 400
        }
    );
}

#[test]
fn replaced_weights_are_used_for_a_while_then_avoided_then_refused() {
    let mut scene = Scene::new(2);
    scene.weights.announce(at(0), MODEL, 2, Announcement::Fresh);
    let old = scene.place(&SHORT).unwrap().server;
    let newer = keys(&scene.fleet).into_iter().find(|k| *k != old).unwrap();
    scene.fleet.get_mut(newer).unwrap().record_weights(MODEL, 2);
    scene.now = at(2_000);
    assert_eq!(scene.place(&SHORT).unwrap().server, newer);
    scene.now = at(6_000);
    scene.fleet.get_mut(newer).unwrap().avoid_until = at(7_000);
    assert!(scene.place(&SHORT).is_err());
}

#[test]
fn an_engine_that_returns_with_weights_replaced_long_ago_gets_no_requests() {
    let mut scene = Scene::new(1);
    scene.weights.announce(at(0), MODEL, 2, Announcement::Fresh);
    scene.fleet.apply(at(9_000), entry("returned", 1));
    scene.now = at(9_100);
    assert!(matches!(
        scene.place(&SHORT),
        Err(Unplaceable::NoneReady { .. })
    ));
}

#[test]
fn a_request_that_would_begin_too_late_on_replaced_weights_is_not_queued_for_them() {
    let mut scene = Scene::new(1);
    scene.weights.announce(at(0), MODEL, 2, Announcement::Fresh);
    scene.now = at(4_500);
    assert!(scene.place(&SHORT).is_ok());
    scene.load_all(1_500);
    assert!(scene.place(&SHORT).is_err());
}

#[test]
fn parts_of_isolated_workspaces_and_of_other_weights_are_others() {
    let walled = relay::Workspace {
        name: "w".into(),
        keys: Vec::new(),
        priority: None,
        isolated: true,
    };
    let open = relay::Workspace {
        isolated: false,
        ..walled.clone()
    };
    assert_eq!(
        relay::cache_scope(3, None),
        relay::cache_scope(3, Some(&open))
    );
    assert_ne!(
        relay::cache_scope(3, None),
        relay::cache_scope(3, Some(&walled))
    );
    assert_ne!(relay::cache_scope(3, None), relay::cache_scope(4, None));
}
