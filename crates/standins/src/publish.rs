//! Publishes a configuration to the key-value service.

use std::collections::BTreeMap;

use bytes::Bytes;
use config::sha256_hex;
use config::FileEntry;
use config::Manifest;
use config::FILE_PREFIX;
use config::HEAD_KEY;
use platform::KeyValue;
use platform::Result;
use platform::SwapOutcome;

/// Author in the manifest.
const AUTHOR: &str = "standins";

/// Replaces the configuration in the key-value service by these files, given by name.
///
/// Returns the new version of the configuration.
pub async fn publish(store: &dyn KeyValue, files: &BTreeMap<String, String>) -> Result<u64> {
    for content in files.values() {
        let key = format!("{FILE_PREFIX}{}", sha256_hex(content.as_bytes()));
        let content = Bytes::from(content.clone());
        // The key is the hash of the content, so a conflict means that it is already stored.
        store.compare_and_swap(&key, 0, content, None).await?;
    }
    loop {
        let head = store.get(HEAD_KEY).await?;
        let expected = head.as_ref().map_or(0, |head| head.version);
        let version = head.map_or(0, |head| version_of(&head.value)) + 1;
        let manifest = Bytes::from(manifest(version, files));
        let swap = store.compare_and_swap(HEAD_KEY, expected, manifest, None);
        if let SwapOutcome::Written(_) = swap.await? {
            return Ok(version);
        }
    }
}

/// Returns the version in an encoded manifest, or 0 if it can't be parsed.
fn version_of(head: &[u8]) -> u64 {
    serde_json::from_slice(head).map_or(0, |head: Manifest| head.version)
}

/// Returns the encoded manifest of these files.
fn manifest(version: u64, files: &BTreeMap<String, String>) -> Vec<u8> {
    let entry = |content: &String| FileEntry {
        sha256: sha256_hex(content.as_bytes()),
        version,
        author: AUTHOR.to_owned(),
    };
    let files = files
        .iter()
        .map(|(name, content)| (name.clone(), entry(content)));
    let manifest = Manifest {
        version,
        author: AUTHOR.to_owned(),
        nonce: version.to_string(),
        files: files.collect(),
        ..Manifest::default()
    };
    serde_json::to_vec(&manifest).unwrap_or_default()
}
