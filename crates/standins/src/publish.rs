//! Puts a configuration into the key-value service.

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

/// Author that the manifest names.
const AUTHOR: &str = "standins";

/// Puts files, by name, into the key-value service in place of those that are
/// there, and returns the configuration's new version.
pub async fn publish(store: &dyn KeyValue, files: &BTreeMap<String, String>) -> Result<u64> {
    for content in files.values() {
        let key = format!("{FILE_PREFIX}{}", sha256_hex(content.as_bytes()));
        let content = Bytes::from(content.clone());
        // A conflict means that the same content is there already.
        store.compare_and_swap(&key, 0, content, None).await?;
    }
    loop {
        let head = store.get(HEAD_KEY).await?;
        let held = head.as_ref().map_or(0, |head| head.version);
        let version = head.map_or(0, |head| version_of(&head.value)) + 1;
        let manifest = Bytes::from(manifest(version, files));
        let swap = store.compare_and_swap(HEAD_KEY, held, manifest, None);
        if let SwapOutcome::Written(_) = swap.await? {
            return Ok(version);
        }
    }
}

fn version_of(head: &[u8]) -> u64 {
    serde_json::from_slice(head).map_or(0, |head: Manifest| head.version)
}

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
