//! Deletes the oldest versions of the history and the file contents that only they use.

use std::collections::BTreeSet;

use config::Manifest;

use crate::ConfigStore;
use crate::Result;

/// Number of earlier versions that a pruning leaves in the history.
const KEPT_VERSIONS: u64 = 100;

/// Number of versions between two prunings.
const PRUNE_INTERVAL: u64 = 50;

/// Prunes the history if the version of `accepted` is a multiple of [`PRUNE_INTERVAL`].
///
/// Contents to which the remaining history, `accepted` or the head refers are kept.
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

/// Returns the SHA-256 of all file contents to which the manifests refer.
fn hashes(manifests: &[Manifest]) -> BTreeSet<String> {
    manifests
        .iter()
        .flat_map(|manifest| manifest.files.values())
        .map(|entry| entry.sha256.clone())
        .collect()
}
