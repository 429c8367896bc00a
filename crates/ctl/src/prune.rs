//! Bounds the history and the contents that only it names.

use std::collections::BTreeSet;

use config::Manifest;

use crate::ConfigStore;
use crate::Result;

/// Former manifests that are kept.
const KEPT_VERSIONS: u64 = 100;

/// Versions between two prunings.
const PRUNE_INTERVAL: u64 = 50;

/// Deletes what the history no longer has to keep, if it is the turn of `accepted` to do so.
pub(crate) async fn prune(store: &ConfigStore, accepted: &Manifest) -> Result<()> {
    if !accepted.version.is_multiple_of(PRUNE_INTERVAL) {
        return Ok(());
    }
    let oldest = accepted.version.saturating_sub(KEPT_VERSIONS);
    let head = store.read_head().await?.manifest;
    let history = store.read_history().await?;
    let (old, kept): (Vec<Manifest>, Vec<Manifest>) = history
        .into_iter()
        .partition(|manifest| manifest.version < oldest);
    let mut referenced = hashes(&kept);
    referenced.extend(hashes(std::slice::from_ref(accepted)));
    referenced.extend(hashes(std::slice::from_ref(&head)));
    for sha256 in hashes(&old).difference(&referenced) {
        store.delete_content(sha256).await?;
    }
    for manifest in &old {
        store.delete_archived(manifest.version).await?;
    }
    Ok(())
}

fn hashes(manifests: &[Manifest]) -> BTreeSet<String> {
    manifests
        .iter()
        .flat_map(|manifest| manifest.files.values())
        .map(|entry| entry.sha256.clone())
        .collect()
}
