//! Checks of folders: merging, schema, references and duplicates.

mod folders;

use config::check;
use config::Config;
use config::Folder;

use crate::folders::folder;
use crate::folders::TOKEN_SHA256;
use crate::folders::VALID;

fn problems(folder: &Folder) -> Vec<String> {
    let problems = check(folder).expect_err("the folder is invalid").problems;
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_folder_yields_its_configuration() {
    let folder = folder(&[("10-all.json", VALID)]);

    let checked = check(&folder).expect("valid");

    assert_eq!(checked.config.models["m"].weights_version, 7);
    assert_eq!(checked.config.limits.cell_size, 16);
    assert!(checked.overrides.is_empty());
}

#[test]
fn a_later_file_replaces_entries_and_single_limits() {
    let folder = folder(&[
        ("10-all.json", VALID),
        ("20-more.json", r#"{"limits": {"loads_at_once": 2}}"#),
        (
            "30-last.json",
            r#"{"models": {"m": {"weights_version": 8}}, "limits": {"loads_at_once": 5}}"#,
        ),
    ]);

    let checked = check(&folder).expect("valid");

    assert_eq!(checked.config.models["m"].weights_version, 8);
    assert_eq!(checked.config.limits.loads_at_once, 5);
    let replaced: Vec<&str> = checked.overrides.iter().map(|o| o.field.as_str()).collect();
    assert_eq!(replaced, ["limits.loads_at_once", "models.m"]);
}

#[test]
fn all_problems_are_reported_at_once_with_file_and_field() {
    let folder = folder(&[
        ("10-all.json", VALID),
        ("20-text.json", "{"),
        (
            "30-twice.json",
            r#"{"models": {"x": {"weights_version": 1}, "x": {"weights_version": 2}}}"#,
        ),
        (
            "40-form.json",
            r#"{"model": {}, "limits": {"loads_at_once": 0, "cell": 1}, "priorities": {"low": {"rank": 256}}}"#,
        ),
        (
            "50-server.json",
            r#"{"backend_servers": {"b": {"address": "host:1", "region": "r", "failure_domain": "", "models": [], "workspaces": 3}}}"#,
        ),
        (
            "60-service.json",
            r#"{"services": {"s": {"replicas": {}, "calls": [{"method": "get", "path_prefix": "x", "idempotent": 1}]}}}"#,
        ),
        (
            "70-workspace.json",
            r#"{"workspaces": {"a b": {"token_sha256": "ABC"}}}"#,
        ),
    ]);

    let problems = problems(&folder);

    assert_eq!(problems, [
        "20-text.json: expected JSON text, found EOF while parsing an object at line 1 column 1",
        "30-twice.json: expected JSON text, found name \"x\" stands twice at line 1 column 44",
        "40-form.json: limits.cell: expected one of loads_at_once, retries_per_100_requests, crashes_per_request, body_bytes, stored_answer_bytes, record_hours, cell_size, found an unknown field",
        "40-form.json: limits.loads_at_once: expected an integer from 1 to 1000, found 0",
        "40-form.json: model: expected one of workspaces, models, priorities, backend_servers, services, limits, found an unknown field",
        "40-form.json: priorities.low.default_deadline_ms: expected an integer from 1 to 3600000, found nothing",
        "40-form.json: priorities.low.rank: expected an integer from 0 to 255, found 256",
        "50-server.json: backend_servers.b.address: expected an IP address with a port, such as \"10.0.0.1:8080\", found \"host:1\"",
        "50-server.json: backend_servers.b.failure_domain: expected text that is not empty, found \"\"",
        "50-server.json: backend_servers.b.models: expected a list of at least 1, found []",
        "50-server.json: backend_servers.b.workspaces: expected a list, found 3",
        "60-service.json: services.s.calls[0].idempotent: expected true or false, found 1",
        "60-service.json: services.s.calls[0].method: expected one of DELETE, GET, HEAD, PATCH, POST, PUT, found \"get\"",
        "60-service.json: services.s.calls[0].path_prefix: expected a path that starts with '/', without query, found \"x\"",
        "60-service.json: services.s.replicas: expected an object with at least 1 entry, found {}",
        "70-workspace.json: workspaces.a b: expected a name of at most 128 letters, digits, '-', '_' and '.', found name \"a b\"",
        "70-workspace.json: workspaces.a b.token_sha256: expected a SHA-256 of 64 lower-case hexadecimal digits, found \"ABC\"",
    ]);
}

#[test]
fn undeclared_names_duplicates_and_covered_calls_are_reported_with_the_winning_file() {
    let more = format!(
        r#"{{
            "workspaces": {{"x": {{"token_sha256": "{TOKEN_SHA256}"}}}},
            "backend_servers": {{"b2": {{"address": "127.0.0.1:4001", "region": "r", "failure_domain": "f",
                "models": ["m", "none"], "workspaces": ["nobody"]}}}},
            "services": {{"t": {{"replicas": {{"t1": "127.0.0.1:5001"}}, "calls": [
                {{"method": "POST", "path_prefix": "/", "idempotent": true}},
                {{"method": "POST", "path_prefix": "/award", "idempotent": false}}]}}}}
        }}"#
    );
    let folder = folder(&[("10-all.json", VALID), ("20-more.json", &more)]);

    let problems = problems(&folder);

    assert_eq!(problems, [
        "20-more.json: backend_servers.b2.address: expected an address of its own, found 127.0.0.1:4001, the address of backend_servers.b1.address",
        "20-more.json: backend_servers.b2.models[1]: expected a name that models declares, found \"none\"",
        "20-more.json: backend_servers.b2.workspaces[0]: expected a name that workspaces declares, found \"nobody\"",
        "20-more.json: services.t.calls[1]: expected a call that no earlier one covers, found calls[0] covers it, and the first match decides",
        "20-more.json: services.t.replicas.t1: expected an address of its own, found 127.0.0.1:5001, the address of services.s.replicas.s1",
        "20-more.json: workspaces.x.token_sha256: expected a token of its own, found the token of workspace \"w\"",
    ]);
}

#[test]
fn the_schema_accepts_every_field_that_a_configuration_writes() {
    let config = check(&folder(&[("10-all.json", VALID)]))
        .expect("valid")
        .config;
    let written = serde_json::to_string(&config).expect("serialise");

    let again = check(&folder(&[("10-all.json", &written)]))
        .expect("valid")
        .config;

    assert_eq!(again, config);
    assert_ne!(again, Config::default());
}

#[test]
fn only_visible_json_files_of_a_directory_are_read() {
    let dir = tempfile::tempdir().expect("create a directory");
    for name in ["10-a.json", "README.md", ".base.json"] {
        std::fs::write(dir.path().join(name), "{}").expect("write a file");
    }

    let folder = Folder::read(dir.path()).expect("read the directory");

    assert_eq!(folder, self::folder(&[("10-a.json", "{}")]));
}
