//! Ledgers of the backend servers and call records in the key-value store, as text.

use std::fmt::Write;

use platform::KeyValue;
use serde_json::Value;
use standins::EngineRecord;
use standins::Fleet;
use standins::ServiceRecord;

use super::Placeholders;

/// Prefix of the keys of call records, which make calls run at most once.
const CLAIM_PREFIX: &str = "once/";

/// Returns the ledgers and call records at the end of a session.
pub async fn render(fleet: &Fleet, placeholders: &mut Placeholders) -> String {
    let mut text = String::new();
    write_engines(fleet, placeholders, &mut text);
    text.push_str("== ledger of the service\n");
    for record in fleet.service.ledger() {
        writeln!(text, "{}", service_line(&record, placeholders))
            .expect("writing to a String never fails");
    }
    text.push_str("\n== call records in the key-value store\n");
    let records = fleet
        .platform
        .list(CLAIM_PREFIX)
        .await
        .expect("list succeeds");
    for (key, stored) in records {
        writeln!(text, "{}", record_line(&key, &stored.value, placeholders))
            .expect("writing to a String never fails");
    }
    text
}

/// Writes the ledgers of the engines that have records, sorted by placeholder, and the number of
/// the other engines.
fn write_engines(fleet: &Fleet, placeholders: &mut Placeholders, text: &mut String) {
    let engines = fleet.engines.iter().enumerate();
    let ledgers = engines.map(|(i, engine)| (format!("engine-{}", i + 1), engine.ledger()));
    let (idle, busy): (Vec<_>, Vec<_>) = ledgers.partition(|(_, ledger)| ledger.is_empty());
    let mut ledgers: Vec<_> = busy
        .into_iter()
        .map(|(engine, ledger)| (placeholders.placeholder("server", &engine), ledger))
        .collect();
    ledgers.sort_by(|(a, _), (b, _)| a.cmp(b));
    for (server, ledger) in ledgers {
        writeln!(text, "== ledger of {server}").expect("writing to a String never fails");
        for record in ledger {
            writeln!(text, "{}", engine_line(&record, placeholders))
                .expect("writing to a String never fails");
        }
        text.push('\n');
    }
    writeln!(text, "== idle engines: {}\n", idle.len()).expect("writing to a String never fails");
}

fn engine_line(record: &EngineRecord, placeholders: &mut Placeholders) -> String {
    match record {
        EngineRecord::Ran {
            incarnation,
            stream,
            workspace,
            model,
            weights_version,
            prompt_tokens,
            cached_tokens,
            first_position,
        } => {
            let stream = placeholders.placeholder("stream", stream);
            format!(
                "ran {stream}: incarnation {incarnation}, workspace {workspace}, model {model}, \
                 weights {weights_version}, {prompt_tokens} prompt tokens, {cached_tokens} cached, \
                 first position {first_position}"
            )
        }
        EngineRecord::Finished { stream } => {
            format!("finished {}", placeholders.placeholder("stream", stream))
        }
        EngineRecord::Cancelled { stream } => {
            format!("cancelled {}", placeholders.placeholder("stream", stream))
        }
        EngineRecord::Refused { stream, reason } => {
            format!(
                "refused {}: {reason}",
                placeholders.placeholder("stream", stream)
            )
        }
        other => panic!("unexpected record in a session: {other:?}"),
    }
}

fn service_line(record: &ServiceRecord, placeholders: &mut Placeholders) -> String {
    let ServiceRecord {
        method,
        path,
        key,
        body,
    } = record;
    let key = key
        .as_deref()
        .map(|key| placeholders.placeholder("key", key));
    let body = String::from_utf8_lossy(body);
    format!("ran {method} {path} under {key:?}: {body}")
}

/// Returns a call record as one line, with placeholders for values that differ between runs.
fn record_line(key: &str, value: &[u8], placeholders: &mut Placeholders) -> String {
    let parts: Vec<&str> = key.split('/').collect();
    let [prefix, _hour, workspace, uuid] = parts[..] else {
        panic!("not the key of a call record: {key}");
    };
    let uuid = placeholders.placeholder("key", uuid);
    let mut record: Value = serde_json::from_slice(value).expect("the record is JSON");
    let nonce = record["nonce"].as_str().expect("a nonce").to_owned();
    record["nonce"] = placeholders.placeholder("nonce", &nonce).into();
    if record["owner_gone_at"].is_u64() {
        record["owner_gone_at"] = "<time>".into();
    }
    if let Some(body) = record.pointer_mut("/answer/body") {
        let bytes: Vec<u8> = serde_json::from_value(body.take()).expect("bytes");
        *body = String::from_utf8(bytes).expect("UTF-8").into();
    }
    format!("{prefix}/<hour>/{workspace}/{uuid}: {record}")
}
