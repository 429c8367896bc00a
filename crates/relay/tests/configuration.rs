//! Lookup of routes and workspaces.

use relay::CallerLimits;
use relay::Configuration;
use relay::Route;
use relay::RouteKind;
use relay::Share;
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
        quota: None,
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

fn route_name(configuration: &Configuration, host: &str, path: &str) -> Option<String> {
    let route = configuration.route(host, path)?;
    Some(route.name.to_string())
}

#[test]
fn the_longest_matching_path_prefix_of_the_host_wins() {
    let configuration = configuration(Vec::new());
    assert_eq!(
        route_name(&configuration, "a.example", "/x/y/z"),
        Some("long".into())
    );
    assert_eq!(
        route_name(&configuration, "a.example", "/x/z"),
        Some("short".into())
    );
    assert_eq!(
        route_name(&configuration, "b.example", "/x/y/"),
        Some("other".into())
    );
    assert_eq!(route_name(&configuration, "a.example", "/x"), None);
    assert_eq!(route_name(&configuration, "c.example", "/x/"), None);
}

#[test]
fn keys_are_required_only_if_workspaces_are_configured() {
    let open = configuration(Vec::new());
    let closed = configuration(vec![workspace("w", "k")]);
    let route = route("r", "a.example", "/x/");
    assert!(!open.needs_key(&route));
    assert!(closed.needs_key(&route));
    assert_eq!(&*closed.workspace("k").unwrap().name, "w");
    assert!(closed.workspace("other").is_none());
}
