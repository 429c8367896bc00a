//! Rebasing of changes onto changes that other operators made meanwhile.

mod folders;

use std::collections::BTreeMap;

use config::check;
use config::next_base;
use config::rebase;
use config::ChangeMetadata;
use config::Folder;
use config::Manifest;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::folders::folder;
use crate::folders::manifest;

fn change_metadata() -> ChangeMetadata {
    ChangeMetadata {
        author: "ann".into(),
        at_ms: 5,
        nonce: "n-1".into(),
    }
}

#[test]
fn a_change_of_other_files_is_rebased() {
    let base = folder(&[("a.json", "1"), ("b.json", "1"), ("c.json", "1")]);
    let local = folder(&[("a.json", "2"), ("b.json", "1")]);
    let mut current = manifest(
        4,
        "bob",
        &folder(&[
            ("a.json", "1"),
            ("b.json", "7"),
            ("c.json", "1"),
            ("d.json", "7"),
        ]),
    );
    current.version = 9;

    let rebased = rebase(&manifest(3, "cy", &base), &local, &current, "ann").expect("rebase");
    let accepted = rebased.manifest(&local, &current, &change_metadata());

    assert_eq!(accepted.version, 10);
    assert_eq!(accepted.files["a.json"].author, "ann");
    assert_eq!(accepted.files["b.json"], current.files["b.json"]);
    assert!(!accepted.files.contains_key("c.json"));
    assert!(accepted.files.contains_key("d.json"));
}

#[test]
fn a_change_of_the_same_file_is_refused_with_both_authors_and_versions() {
    let base = folder(&[("a.json", "1"), ("b.json", "1")]);
    let local = folder(&[("a.json", "2"), ("b.json", "2"), ("new.json", "2")]);
    let current = manifest(7, "bob", &folder(&[("a.json", "3"), ("new.json", "3")]));

    let conflicts = rebase(&manifest(3, "cy", &base), &local, &current, "ann").expect_err("refuse");

    assert_eq!(
        conflicts.to_string(),
        "a.json: ann's change is based on version 3, but the file holds version 7 of bob\n\
         b.json: ann's change is based on version 3, but the file was removed by version 7 of bob\n\
         new.json: ann's change is based on no version, but the file holds version 7 of bob"
    );
}

fn any_folder() -> impl Strategy<Value = Folder> {
    proptest::collection::btree_map("[abcd]\\.json", "[123]", 0..4)
        .prop_map(|files| Folder { files })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rebase_loses_no_change(base in any_folder(), local in any_folder(), theirs in any_folder()) {
        let current = manifest(4, "bob", &theirs);
        let base_manifest = manifest(3, "cy", &base);
        let Ok(rebased) = rebase(&base_manifest, &local, &current, "ann") else {
            return Ok(());
        };

        let accepted = rebased.manifest(&local, &current, &change_metadata());

        for file in ["a.json", "b.json", "c.json", "d.json"] {
            let hash = accepted.files.get(file).map(|entry| entry.sha256.clone());
            if local.sha256(file) != base.sha256(file) {
                prop_assert_eq!(&hash, &local.sha256(file));
            }
            if theirs.sha256(file) != base.sha256(file) {
                prop_assert_eq!(&hash, &theirs.sha256(file));
            }
        }
        let base = next_base(&base_manifest, &local, &accepted);
        let repeat = rebase(&base, &local, &accepted, "ann").expect("nothing changed since");
        prop_assert!(repeat.is_empty());
    }

    #[test]
    fn the_merge_does_not_depend_on_the_order_of_reading(
        limits in Just((1..=6).collect::<Vec<u32>>()).prop_shuffle(),
    ) {
        let read = |order: &[u32]| -> Folder {
            let files: BTreeMap<String, String> = order
                .iter()
                .map(|n| (format!("{n}.json"), format!(r#"{{"limits": {{"cell_size": {n}}}}}"#)))
                .collect();
            Folder { files }
        };

        let shuffled = check(&read(&limits)).expect("valid");

        prop_assert_eq!(shuffled.config.limits.cell_size, 6);
        prop_assert_eq!(shuffled, check(&read(&[1, 2, 3, 4, 5, 6])).expect("valid"));
    }
}

#[test]
fn a_folder_without_a_base_only_adds() {
    let current = manifest(7, "bob", &folder(&[("a.json", "3"), ("b.json", "3")]));
    let local = folder(&[("a.json", "3"), ("c.json", "1")]);

    let rebased = rebase(&Manifest::default(), &local, &current, "ann").expect("rebase");

    assert_eq!(rebased.put.into_iter().collect::<Vec<_>>(), ["c.json"]);
    assert!(rebased.removed.is_empty());
}
