//! Parsing and validation of settings files.

use std::io::Write;

use gateway::Settings;
use serde_json::json;
use serde_json::Value;

fn file() -> Value {
    json!({
        "name": "front-1", "domain": "a", "regions": { "a": "r" }, "capacity": 12.5,
        "listen": {
            "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "bootstrap": "",
            "peer_port": 3, "metrics_port": 4,
        },
        "store": "127.0.0.1:5", "seeds": [], "stop_s": 8.5,
    })
}

fn read(value: &Value) -> Result<Settings, String> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(value.to_string().as_bytes()).unwrap();
    Settings::read(file.path()).map_err(|e| e.to_string())
}

fn with(field: &str, value: Value) -> Value {
    let mut file = file();
    file[field] = value;
    file
}

#[test]
fn fractions_are_accepted_and_missing_fields_have_defaults() {
    let settings = read(&file()).unwrap();
    assert_eq!(settings.stop_ms, 8_500);
    assert_eq!(settings.listen.bootstrap, None);
    assert!(!settings.fenced);
}

#[test]
fn unknown_fields_are_ignored() {
    assert!(read(&with("tomorrow", json!({ "x": 1 }))).is_ok());
}

#[test]
fn errors_name_the_invalid_field() {
    for (field, value) in [
        ("store", json!("nowhere")),
        ("stop_s", json!(-1)),
        ("orders_at_once_percent", json!(0)),
        ("orders_at_once_percent", json!(200)),
        ("name", json!("")),
        ("repeat_ratio", json!(-0.5)),
        ("min_lease_ms", json!(9_000)),
        ("heartbeat_ms", json!(-1)),
    ] {
        let e = read(&with(field, value.clone())).unwrap_err();
        let named = e.contains(field) || e.contains("order_lease_ms") || e.contains("repeats");
        assert!(named, "{field}={value}: {e}");
    }
}

#[test]
fn a_missing_field_is_named() {
    let mut file = file();
    file.as_object_mut().unwrap().remove("domain");
    assert!(read(&file).unwrap_err().contains("domain"));
}
