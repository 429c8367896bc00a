//! The operators' documentation mentions every field of the schema.

mod folders;

use std::collections::BTreeSet;

use config::check;

use crate::folders::folder;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// An unknown field at each level; the problems about them list the known fields.
const UNKNOWN_FIELDS: &str = r#"{
    "x": 0,
    "workspaces": {"w": {"x": 0, "quota": {"x": 0}, "weights": {"x": 0}}},
    "models": {"m": {"x": 0}},
    "priorities": {"p": {"x": 0}},
    "backend_servers": {"b": {"x": 0}},
    "services": {"s": {"x": 0, "calls": [{"x": 0}]}},
    "limits": {"x": 0}
}"#;

#[test]
fn the_page_mentions_every_field() {
    let problems = check(&folder(&[("10.json", UNKNOWN_FIELDS)])).expect_err("problems");

    let fields: BTreeSet<&str> = problems
        .problems
        .iter()
        .filter_map(|problem| problem.expected.strip_prefix("one of "))
        .flat_map(|names| names.split(", "))
        .collect();

    assert!(fields.len() > 30, "only {} fields", fields.len());
    for field in fields {
        let ends = [
            format!("`{field}`"),
            format!(".{field}`"),
            format!("`{field}."),
        ];
        assert!(
            ends.iter().any(|end| PAGE.contains(end)),
            "{field} is missing"
        );
    }
}
