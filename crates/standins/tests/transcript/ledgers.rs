//! What backend servers and platform say at the end of a session.

use std::fmt::Write;

use platform::KeyValue;
use serde_json::Value;
use standins::EngineRecord;
use standins::Fleet;
use standins::ServiceRecord;

use super::Placeholders;

/// Start of the keys of records of calls that run at most once.
const CLAIM_PREFIX: &str = "once/";

/// Returns what backend servers and platform say.
pub async fn render(fleet: &Fleet, placeholders: &mut Placeholders) -> String {
    let mut text = String::new();
    write_engines(fleet, placeholders, &mut text);
    text.push_str("== ledger of the service\n");
    for record in fleet.service.ledger() {
        writeln!(text, "{}", service_line(&record, placeholders)).expect("a string takes all");
    }
    text.push_str("\n== records at the platform\n");
    let records = fleet.platform.list(CLAIM_PREFIX).await.expect("works");
    for (key, stored) in records {
        writeln!(text, "{}", record_line(&key, &stored.value, placeholders))
            .expect("a string takes all");
    }
    text
}

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
        writeln!(text, "== ledger of {server}").expect("a string takes all");
        for record in ledger {
            writeln!(text, "{}", engine_line(&record, placeholders)).expect("a string takes all");
        }
        text.push('\n');
    }
    writeln!(text, "== engines that did nothing: {}\n", idle.len()).expect("a string takes all");
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
        other => panic!("no session has this: {other:?}"),
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

fn record_line(key: &str, value: &[u8], placeholders: &mut Placeholders) -> String {
    let parts: Vec<&str> = key.split('/').collect();
    let [prefix, _hour, workspace, uuid] = parts[..] else {
        panic!("not a record's key: {key}");
    };
    let uuid = placeholders.placeholder("key", uuid);
    let mut record: Value = serde_json::from_slice(value).expect("a record is JSON");
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
