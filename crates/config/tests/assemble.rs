//! Building a configuration from a manifest and file contents.

mod folders;

use std::collections::BTreeMap;

use config::assemble;
use config::sha256_hex;
use config::AssembleError;

use crate::folders::folder;
use crate::folders::manifest;
use crate::folders::VALID;

#[test]
fn contents_with_matching_hashes_yield_the_configuration() {
    let folder = folder(&[("10-all.json", VALID)]);
    let contents = BTreeMap::from([(sha256_hex(VALID.as_bytes()), VALID)]);

    let config = assemble(&manifest(3, "ann", &folder), &contents).expect("assemble");

    assert!(config.workspaces.contains_key("w"));
}

#[test]
fn missing_altered_and_invalid_contents_are_rejected() {
    let folder = folder(&[("10-all.json", "{\"x\": 1}")]);
    let manifest = manifest(3, "ann", &folder);
    let sha256 = folder.sha256("10-all.json").expect("the file exists");
    let missing: BTreeMap<String, String> = BTreeMap::new();
    let altered = BTreeMap::from([(sha256.clone(), "{}")]);
    let invalid = BTreeMap::from([(sha256, "{\"x\": 1}")]);

    let errors = [
        assemble(&manifest, &missing),
        assemble(&manifest, &altered),
        assemble(&manifest, &invalid),
    ];

    assert!(matches!(errors[0], Err(AssembleError::Missing { .. })));
    assert!(matches!(errors[1], Err(AssembleError::HashMismatch { .. })));
    assert!(matches!(errors[2], Err(AssembleError::Invalid { .. })));
}
