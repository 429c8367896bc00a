//! Changes that operators apply, alone and against each other.

mod operator;

use std::time::Duration;

use config::sha256_hex;
use config::FILE_PREFIX;
use config::HEAD_KEY;
use ctl::Error;
use ctl::ExitCode;
use platform::KeyValue;
use standins::CallKind;
use standins::Platform;
use tokio::time::sleep;

use crate::operator::in_force;
use crate::operator::list_router;
use crate::operator::manifest;
use crate::operator::publish_status;
use crate::operator::store;
use crate::operator::Operator;

const MODEL: &str = r#"{"models": {"m": {"weights_version": 1}}}"#;

const NEWER_MODEL: &str = r#"{"models": {"m": {"weights_version": 2}}}"#;

const SERVER: &str = r#"{"backend_servers": {"b": {"address": "127.0.0.1:4001",
    "region": "r", "failure_domain": "f", "models": ["m"]}}}"#;

fn limits(cell_size: u32) -> String {
    format!(r#"{{"limits": {{"cell_size": {cell_size}}}}}"#)
}

/// Two operators with the same folder, whose first version is in force.
async fn two_operators(platform: &Platform) -> (Operator, Operator) {
    let ann = Operator::new("ann")
        .with("10-models.json", MODEL)
        .with("20-limits.json", &limits(8));
    ann.apply(platform).await.expect("apply");
    let bob = Operator::new("bob").with_folder_of(&ann);
    (ann, bob)
}

#[tokio::test(start_paused = true)]
async fn a_first_change_is_in_force_and_its_repeat_changes_nothing() {
    let platform = Platform::new();
    let ann = Operator::new("ann").with("10-models.json", MODEL);

    let first = ann.apply(&platform).await.expect("apply");
    let repeat = ann.apply(&platform).await.expect("apply");

    assert_eq!(
        (first.code, first.json["version"].as_u64()),
        (ExitCode::Ok, Some(1))
    );
    assert_eq!(repeat.json["accepted"], false);
    assert_eq!(manifest(&platform).await.version, 1);
    assert_eq!(in_force(&platform).await.models["m"].weights_version, 1);
}

#[tokio::test(start_paused = true)]
async fn a_faulty_folder_is_refused_without_a_call_to_the_platform() {
    let platform = Platform::new();
    let ann = Operator::new("ann").with("10-servers.json", SERVER);

    let refused = ann.apply(&platform).await.expect_err("refuse");

    assert_eq!(refused.exit_code(), ExitCode::Refused);
    assert_eq!(
        refused.to_string(),
        "10-servers.json: backend_servers.b.models[0]: expected a name that models declares, found \"m\""
    );
    assert_eq!(platform.calls(CallKind::Get), 0);
}

#[tokio::test(start_paused = true)]
async fn changes_of_other_files_are_rebased_and_stay() {
    let platform = Platform::new();
    let (ann, bob) = two_operators(&platform).await;
    ann.write("10-models.json", NEWER_MODEL);
    ann.write("30-servers.json", SERVER);
    bob.write("20-limits.json", &limits(4));

    ann.apply(&platform).await.expect("apply");
    let rebased = bob.apply(&platform).await.expect("apply");
    bob.write("20-limits.json", &limits(2));
    bob.apply(&platform).await.expect("apply");

    assert_eq!(rebased.json["version"], 3);
    assert_eq!(
        rebased.json["kept"],
        serde_json::json!(["10-models.json", "30-servers.json"])
    );
    let config = in_force(&platform).await;
    assert_eq!(config.models["m"].weights_version, 2);
    assert_eq!(config.limits.cell_size, 2);
    assert!(config.backend_servers.contains_key("b"));
}

#[tokio::test(start_paused = true)]
async fn a_change_of_the_same_file_is_refused_with_both_authors_and_versions() {
    let platform = Platform::new();
    let (ann, bob) = two_operators(&platform).await;
    ann.write("20-limits.json", &limits(4));
    bob.write("20-limits.json", &limits(2));

    ann.apply(&platform).await.expect("apply");
    let refused = bob.apply(&platform).await.expect_err("refuse");
    let forced = bob
        .apply_on(&platform, Some(2))
        .await
        .expect("apply on what was seen");

    assert_eq!(refused.exit_code(), ExitCode::Refused);
    assert!(refused.to_string().ends_with(
        "20-limits.json: bob's change is based on version 1, but the file holds version 2 of ann"
    ));
    assert_eq!(forced.json["version"], 3);
}

#[tokio::test(start_paused = true)]
async fn a_rebased_change_that_does_not_hold_together_is_refused() {
    let platform = Platform::new();
    let (ann, bob) = two_operators(&platform).await;
    ann.remove("10-models.json");
    bob.write("30-servers.json", SERVER);

    ann.apply(&platform).await.expect("apply");
    let refused = bob.apply(&platform).await.expect_err("refuse");

    assert!(matches!(refused, Error::Assemble { .. }));
    assert_eq!(manifest(&platform).await.version, 2);
}

#[tokio::test(start_paused = true)]
async fn each_lost_answer_is_settled_by_reading_back() {
    for (prefix, lost) in ["", HEAD_KEY]
        .into_iter()
        .flat_map(|p| (1..=8).map(move |n| (p, n)))
    {
        let platform = Platform::new();
        let ann = Operator::new("ann").with("10-models.json", MODEL);
        platform.lose_responses(prefix, lost);

        let accepted = ann.apply(&platform).await.expect("apply");

        assert_eq!(accepted.json["accepted"], true, "{lost} answers lost");
        assert_eq!(manifest(&platform).await.version, 1);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_and_leaves_the_configuration() {
    let platform = Platform::new();
    let (ann, _) = two_operators(&platform).await;
    ann.write("20-limits.json", &limits(4));
    platform.set_outage(true);

    let failed = ann.apply(&platform).await.expect_err("fail");
    platform.set_outage(false);

    assert!(matches!(failed, Error::Platform { .. }));
    assert_eq!(in_force(&platform).await.limits.cell_size, 8);
}

#[tokio::test(start_paused = true)]
async fn apply_waits_for_live_routers_and_names_those_that_lag() {
    let platform = Platform::new();
    for vm in ["r1", "r2", "r3"] {
        list_router(&platform, vm).await;
    }
    publish_status(&platform, "r1", 1).await;
    publish_status(&platform, "r2", 0).await;
    let ann = Operator::new("ann").with("10-models.json", MODEL);

    let lagging = ann.apply(&platform).await.expect("apply");
    let late = tokio::spawn({
        let platform = platform.clone();
        async move {
            sleep(Duration::from_secs(3)).await;
            publish_status(&platform, "r2", 1).await;
            publish_status(&platform, "r3", 2).await;
        }
    });
    let complete = ann.apply(&platform).await.expect("apply");
    late.await.expect("the routers catch up");

    assert_eq!(lagging.code, ExitCode::Lagging);
    assert!(lagging
        .text
        .ends_with("in force on 1 of 3 live routers; lagging: r2 (version 0), r3 (no record)"));
    assert_eq!(complete.code, ExitCode::Ok);
}

#[tokio::test(start_paused = true)]
async fn a_base_of_another_platform_is_not_used() {
    let platform = Platform::new();
    let (ann, _) = two_operators(&platform).await;
    let other = Platform::new();

    let first = ann.apply(&other).await.expect("apply");

    assert_eq!(
        first.json["put"],
        serde_json::json!(["10-models.json", "20-limits.json"])
    );
}

#[tokio::test(start_paused = true)]
async fn a_rollback_is_a_new_version() {
    let platform = Platform::new();
    let (ann, _) = two_operators(&platform).await;
    ann.write("20-limits.json", &limits(4));
    ann.write("30-servers.json", SERVER);
    ann.apply(&platform).await.expect("apply");

    let back = ann.roll_back(&platform, 1).await.expect("roll back");

    assert_eq!(back.json["version"], 3);
    assert_eq!(back.json["removed"], serde_json::json!(["30-servers.json"]));
    assert_eq!(in_force(&platform).await.limits.cell_size, 8);
    let versions: Vec<u64> = store(&platform)
        .history()
        .await
        .expect("history")
        .iter()
        .map(|manifest| manifest.version)
        .collect();
    assert_eq!(versions, [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn the_history_is_bounded_and_the_files_in_force_stay() {
    let platform = Platform::new();
    let ann = Operator::new("ann").with("10-models.json", MODEL);
    for cell_size in 1..=200 {
        ann.write("20-limits.json", &limits(cell_size));
        ann.apply(&platform).await.expect("apply");
    }

    let store = store(&platform);
    let history = store.history().await.expect("history");
    let files = store.entries("list", FILE_PREFIX).await.expect("list");

    assert_eq!(history[0].version, 100);
    assert_eq!(history.len(), 100);
    assert_eq!(files.len(), 102);
    assert_eq!(in_force(&platform).await.limits.cell_size, 200);
}

#[tokio::test(start_paused = true)]
async fn a_change_of_one_file_costs_four_writes() {
    let platform = Platform::new();
    let (ann, _) = two_operators(&platform).await;
    ann.write("20-limits.json", &limits(4));
    let before = platform.calls(CallKind::CompareAndSwap);

    ann.apply(&platform).await.expect("apply");

    assert_eq!(platform.calls(CallKind::CompareAndSwap) - before, 4);
}

/// Deletes a file's content once, as soon as it is there, as another operator's pruning may.
async fn delete_once(platform: Platform, content: String) {
    let key = format!("{FILE_PREFIX}{}", sha256_hex(content.as_bytes()));
    loop {
        if let Some(held) = platform.get(&key).await.expect("get") {
            platform.delete(&key, held.version).await.expect("delete");
            return;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_content_that_is_deleted_before_the_head_is_written_is_put_back() {
    let platform = Platform::new();
    let (ann, _) = two_operators(&platform).await;
    ann.write("20-limits.json", &limits(4));
    platform.set_delay_ms(20);

    let pruning = tokio::spawn(delete_once(platform.clone(), limits(4)));
    ann.apply(&platform).await.expect("apply");
    pruning.await.expect("the content is deleted");

    assert_eq!(platform.calls(CallKind::Delete), 1);
    assert_eq!(in_force(&platform).await.limits.cell_size, 4);
}
