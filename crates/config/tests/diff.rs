//! Differences between configurations.

mod folders;

use config::check;
use config::diff;

use crate::folders::folder;
use crate::folders::VALID;

#[test]
fn added_removed_and_changed_fields_are_listed() {
    let more = r#"{
        "models": {"n": {"weights_version": 1}},
        "priorities": {"high": {"rank": 8, "default_deadline_ms": 1000}},
        "limits": {"cell_size": 8}
    }"#;
    let before = check(&folder(&[("10-all.json", VALID)]))
        .expect("valid")
        .config;
    let mut after = check(&folder(&[("10-all.json", VALID), ("20-more.json", more)]))
        .expect("valid")
        .config;
    after.services.clear();

    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();

    assert_eq!(
        lines,
        [
            "~ limits.cell_size: 16 -> 8",
            r#"+ models.n: {"kv_bytes_per_token":2000,"prefill_ms_per_1000_tokens":40.0,"weights_version":1}"#,
            "~ priorities.high.rank: 9 -> 8",
            r#"- services.s: {"calls":[{"idempotent":true,"method":"GET","path_prefix":"/"}],"replicas":{"s1":"127.0.0.1:5001"}}"#,
        ]
    );
    assert!(diff(&after, &after).is_empty());
}
