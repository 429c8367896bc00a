//! Parsing of settings: each error is one line with file, field and what was expected.

use std::fs;

use router::Settings;
use serde_json::json;
use serde_json::Value;

fn valid_settings() -> Value {
    json!({
        "vm": "vm1",
        "region": "west",
        "failure_domain": "west-1",
        "listen": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "key_value": "127.0.0.1:9000",
        "membership": "127.0.0.1:9000",
        "peer_secret": "0123456789abcdef",
        "event_secret": "0123456789abcdef",
    })
}

fn with_field(field: &str, value: Value) -> Value {
    let mut settings = valid_settings();
    settings[field] = value;
    settings
}

fn parse(settings: &Value) -> Result<Settings, String> {
    let text = settings.to_string();
    Settings::parse("s.json", text.as_bytes()).map_err(|e| e.to_string())
}

#[test]
fn valid_settings_are_read() {
    let settings =
        parse(&with_field("limits", json!({"body_ms": 500}))).unwrap_or_else(|e| panic!("{e}"));

    assert_eq!(settings.vm, "vm1");
    assert_eq!(settings.listen.port(), 8080);
    assert_eq!(settings.limits.body_ms, 500);
}

#[test]
fn invalid_fields_are_reported_in_one_line() {
    let cases = [
        (
            with_field("more", json!(1)),
            "s.json: more: expected no such field",
        ),
        (
            with_field("listen", json!("nowhere")),
            "s.json: listen: expected an address such as 10.0.0.1:8080, found \"nowhere\"",
        ),
        (
            with_field("listen", json!("0.0.0.0:80")),
            "s.json: listen: expected an address at which other VMs reach this one",
        ),
        (
            with_field("peer_listen", json!("127.0.0.1:8080")),
            "s.json: peer_listen: expected another address than listen",
        ),
        (with_field("vm", json!(7)), "s.json: vm: expected a string"),
        (
            with_field("vm", json!("")),
            "s.json: vm: expected a name of 1 to 128 printable ASCII bytes without `/`",
        ),
        (
            with_field("limits", json!({"connections": 0})),
            "s.json: limits.connections: expected a whole number from 1 to 1000000, found 0",
        ),
        (
            with_field("limits", json!({"other": 0})),
            "s.json: limits.other: expected no such field",
        ),
        (
            with_field("peer_secret", json!("short")),
            "s.json: peer_secret: expected a secret of at least 16 bytes",
        ),
        (
            with_field("peer_secret_file", json!("/x")),
            "s.json: peer_secret: expected either this field or peer_secret_file",
        ),
        (
            with_field("log", json!("loud, please=now")),
            "s.json: log: expected a log specification such as `info` or `warn, router=debug`",
        ),
        (
            json!([]),
            "s.json: expected JSON: the top-level value is not an object",
        ),
    ];

    for (settings, expected) in cases {
        assert_eq!(parse(&settings).err().as_deref(), Some(expected));
    }
}

#[test]
fn a_missing_field_is_reported_by_name() {
    let mut settings = valid_settings();
    settings.as_object_mut().unwrap().remove("region");

    let error = parse(&settings).err();

    let expected = "s.json: region: expected this field, found none";
    assert_eq!(error.as_deref(), Some(expected));
}

#[test]
fn a_secret_is_read_from_its_file() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("secret");
    fs::write(&path, "a secret from a file\n").unwrap();
    let mut settings = with_field("event_secret_file", json!(path));
    settings.as_object_mut().unwrap().remove("event_secret");

    let settings = parse(&settings).unwrap_or_else(|e| panic!("{e}"));

    assert_eq!(settings.event_secret, b"a secret from a file");
}

#[test]
fn a_missing_file_is_reported_by_path() {
    let error = Settings::read("/nowhere/s.json".as_ref()).err().unwrap();

    let line = error.to_string();
    assert!(line.starts_with("/nowhere/s.json: expected a readable file: "));
    assert!(!line.contains('\n'));
}
