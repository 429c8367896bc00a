//! Faults of a configuration are found before it is put in force.

use relay::check_configuration;
use relay::CallerLimits;
use relay::Configuration;
use relay::Quota;
use relay::QuotaUnit;
use relay::Route;
use relay::RouteKind;
use relay::ServiceSpec;
use relay::Severity;
use relay::Share;
use relay::Workspace;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "app.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout_ms: 2_000,
        objective_ms: 300,
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

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        max_connections: Some(100),
        memory_tokens: None,
        token_bytes: 0,
        prefix_store: None,
        health_path: None,
    }
}

fn limits() -> CallerLimits {
    CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 4_000_000,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    }
}

fn configuration(routes: Vec<Route>, workspaces: Vec<Workspace>) -> Configuration {
    Configuration::new(1, routes, workspaces, vec![service("s")], limits())
}

/// Returns severity, entry and field of each finding.
fn found(configuration: &Configuration) -> Vec<(Severity, String, &'static str)> {
    let findings = check_configuration(configuration);
    let findings = findings.into_iter();
    findings.map(|f| (f.severity, f.entry, f.field)).collect()
}

fn error(entry: &str, field: &'static str) -> (Severity, String, &'static str) {
    (Severity::Error, entry.to_owned(), field)
}

fn warning(entry: &str, field: &'static str) -> (Severity, String, &'static str) {
    (Severity::Warning, entry.to_owned(), field)
}

#[test]
fn a_sound_configuration_has_no_findings() {
    let sound = configuration(
        vec![route("r1", "/a/"), route("r2", "/a/b/")],
        vec![workspace("w1", "k1"), workspace("w2", "k2")],
    );

    assert_eq!(found(&sound), []);
}

// Guards against a route that is sent, confirmed, and never matches.
#[test]
fn a_route_behind_one_with_the_same_host_and_prefix_never_matches() {
    let routes = vec![route("r1", "/a/"), route("r2", "/a/")];

    let found = found(&configuration(routes, Vec::new()));

    assert_eq!(found, [error("route r2", "path_prefix")]);
}

// Guards against requests refused as no server runs the service that a route names.
#[test]
fn a_route_must_lead_to_declared_services() {
    let mut lost = route("r1", "/a/");
    lost.shares[0].service = "gone".into();

    let found = found(&configuration(vec![lost], Vec::new()));

    assert_eq!(
        found,
        [error("route r1", "shares"), warning("service s", "name")]
    );
}

#[test]
fn an_objective_beyond_the_timeout_is_contradictory() {
    let mut slow = route("r1", "/a/");
    slow.objective_ms = slow.timeout_ms + 1;

    let found = found(&configuration(vec![slow], Vec::new()));

    assert_eq!(found, [error("route r1", "objective_ms")]);
}

#[test]
fn a_prefix_without_slashes_matches_other_paths_than_meant() {
    let found = found(&configuration(vec![route("r1", "/a")], Vec::new()));

    assert_eq!(found, [error("route r1", "path_prefix")]);
}

#[test]
fn second_attempts_of_a_route_that_runs_at_most_once_have_no_effect() {
    let mut once = route("r1", "/a/");
    once.kind = RouteKind::Once;

    let found = found(&configuration(vec![once], Vec::new()));

    assert_eq!(found, [warning("route r1", "max_attempts")]);
}

// Guards against requests that are counted and billed to another workspace.
#[test]
fn an_api_key_belongs_to_one_workspace() {
    let workspaces = vec![workspace("w1", "k"), workspace("w2", "k")];

    let found = found(&configuration(vec![route("r1", "/a/")], workspaces));

    assert_eq!(found, [error("workspace w2", "keys")]);
}

#[test]
fn names_are_unique_and_workspaces_have_keys() {
    let mut silent = workspace("w1", "");
    silent.keys.clear();
    let workspaces = vec![silent, workspace("w2", "k2"), workspace("w2", "k3")];

    let found = found(&configuration(vec![route("r1", "/a/")], workspaces));

    assert_eq!(
        found,
        [
            error("workspace w2", "name"),
            warning("workspace w1", "keys")
        ]
    );
}

// Guards against a workspace all of whose requests are refused by its own quota.
#[test]
fn a_quota_below_a_single_request_is_contradictory() {
    let mut small = workspace("w1", "k1");
    small.quota = Some(Quota {
        rate_per_s: 10,
        burst: 10,
        unit: QuotaUnit::Tokens { plain: 200 },
    });

    let found = found(&configuration(vec![route("r1", "/a/")], vec![small]));

    assert_eq!(found, [warning("workspace w1", "quota")]);
}

#[test]
fn limits_of_callers_may_not_contradict_each_other() {
    let mut cfg = configuration(vec![route("r1", "/a/")], Vec::new());
    cfg.limits.idle_timeout_ms = 1_000;
    cfg.limits.max_body_bytes = 0;
    cfg.limits.max_head_bytes = 100;

    let found = found(&cfg);

    assert_eq!(
        found,
        [
            error("limits", "max_body_bytes"),
            warning("limits", "idle_timeout_ms"),
            warning("limits", "max_head_bytes"),
        ]
    );
}

#[test]
fn an_empty_key_and_a_service_without_connections_are_errors() {
    let workspaces = vec![workspace("w1", "")];
    let mut closed = service("s");
    closed.max_connections = Some(0);
    let cfg = Configuration::new(
        1,
        vec![route("r1", "/a/")],
        workspaces,
        vec![closed],
        limits(),
    );

    let found = found(&cfg);

    assert_eq!(
        found,
        [
            error("service s", "max_connections"),
            error("workspace w1", "keys"),
        ]
    );
}
