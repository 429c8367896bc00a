//! Routes, workspaces and weights.

mod common;

use common::at;
use common::MODEL;
use relay::Announcement;
use relay::CallerLimits;
use relay::Configuration;
use relay::Route;
use relay::RouteKind;
use relay::Share;
use relay::Weights;
use relay::Workspace;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        anonymous: false,
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![key.to_owned()],
        priority: None,
        isolated: false,
    }
}

fn configuration(workspaces: Vec<Workspace>) -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Configuration::new(7, routes, workspaces, Vec::new(), limits)
}

fn found(configuration: &Configuration, host: &str, path: &str) -> Option<String> {
    let route = configuration.route(host, path)?;
    Some(route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration(Vec::new());
    assert_eq!(
        found(&configuration, "a.example", "/x/y/z"),
        Some("long".into())
    );
    assert_eq!(
        found(&configuration, "a.example", "/x/z"),
        Some("short".into())
    );
    assert_eq!(
        found(&configuration, "b.example", "/x/y/"),
        Some("other".into())
    );
    assert_eq!(found(&configuration, "a.example", "/x"), None);
    assert_eq!(found(&configuration, "c.example", "/x/"), None);
}

#[test]
fn keys_are_needed_only_where_there_are_workspaces() {
    let open = configuration(Vec::new());
    let closed = configuration(vec![workspace("w", "k")]);
    let route = route("r", "a.example", "/x/");
    assert!(!open.needs_key(&route));
    assert!(closed.needs_key(&route));
    assert_eq!(&*closed.workspace("k").unwrap().name, "w");
    assert!(closed.workspace("other").is_none());
}

#[test]
fn each_replaced_version_is_judged_by_the_first_newer_one() {
    let mut weights = Weights::new(5_000, 2_500);
    weights.announce(at(0), MODEL, 2, Announcement::Fresh);
    weights.announce(at(4_000), MODEL, 3, Announcement::Fresh);
    assert!(weights.is_overdue(at(5_000), MODEL, 1));
    assert!(!weights.is_overdue(at(5_000), MODEL, 2));
    assert!(weights.is_overdue(at(9_000), MODEL, 2));
    assert!(!weights.is_overdue(at(99_000), MODEL, 3));
}

#[test]
fn a_router_that_starts_learns_from_others_how_long_ago_a_version_was_named() {
    let mut weights = Weights::new(7_000, 2_500);
    weights.announce(at(5_000), MODEL, 2, Announcement::Ago(3_000));
    assert!(!weights.is_overdue(at(8_999), MODEL, 1));
    assert!(weights.is_overdue(at(9_000), MODEL, 1));
    let told: Vec<u64> = weights
        .newest_with_ages(at(6_000))
        .map(|(_, _, age)| age)
        .collect();
    assert_eq!(told, [4_000]);
}

#[test]
fn a_router_that_knows_only_the_newest_version_takes_those_further_back_for_long_replaced() {
    let mut weights = Weights::new(7_000, 2_500);
    weights.announce(at(0), MODEL, 3, Announcement::Ago(500));
    assert!(weights.is_overdue(at(2_500), MODEL, 1));
    assert!(!weights.is_overdue(at(2_500), MODEL, 2));
}

#[test]
fn a_version_that_was_named_earlier_is_due_sooner_and_none_is_taken_back() {
    let mut weights = Weights::new(5_000, 2_500);
    assert!(weights.announce(at(0), MODEL, 4, Announcement::Earlier));
    assert!(weights.is_overdue(at(2_500), MODEL, 3));
    assert!(!weights.announce(at(10), MODEL, 3, Announcement::Fresh));
    assert_eq!(weights.wanted(MODEL), Some(4));
}
