//! `rollback`: publishes an earlier version as a new one.

use std::time::Duration;

use argh::FromArgs;
use config::ChangeMetadata;
use config::FileEntry;
use config::Folder;
use config::Manifest;
use config::RebasedChange;
use tokio::time::Instant;

use crate::apply_command::DEFAULT_WAIT_S;
use crate::author;
use crate::publish::publish;
use crate::publish::PublishOutcome;
use crate::rollout;
use crate::rollout::Progress;
use crate::ApplyReport;
use crate::ConfigStore;
use crate::Error;
use crate::Outcome;
use crate::Result;

/// Publishes the files of an earlier version as a new version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackCommand {
    /// version whose files are restored
    #[argh(positional)]
    pub version: u64,
    /// name of the operator (default: USER)
    #[argh(option)]
    pub author: Option<String>,
    /// seconds to wait for the routers
    #[argh(option, default = "DEFAULT_WAIT_S")]
    pub wait_s: u64,
}

impl RollbackCommand {
    /// Publishes the files of the earlier version and waits for the routers.
    ///
    /// Returns an error if another change is accepted meanwhile; the rollback isn't retried.
    pub async fn run(self, store: &ConfigStore, progress: &Progress) -> Result<Outcome> {
        let metadata = author::change_metadata(self.author);
        let head = store.read_head().await?;
        let former = store.read_manifest(self.version, &head).await?;
        let (next, files) = restored_manifest(&head.manifest, &former, &metadata);
        let accepted = !files.is_empty();
        if accepted {
            let outcome = publish(store, &head, &next, &Folder::default()).await?;
            if outcome == PublishOutcome::HeadChanged {
                let version = store.read_head().await?.manifest.version;
                return Err(Error::HeadChanged { version });
            }
        }
        let version = if accepted {
            next.version
        } else {
            head.manifest.version
        };
        let deadline = Instant::now() + Duration::from_secs(self.wait_s);
        let rollout = rollout::wait(store, version, deadline, progress).await;
        let code = rollout.exit_code();
        let report = ApplyReport {
            version,
            accepted,
            files,
            overrides: Vec::new(),
            rollout,
        };
        Ok(Outcome::new(&report, code))
    }
}

/// Returns the manifest that follows `head` with the files of `former`, and what it changes.
///
/// Files that are the same in both keep the version and author that they have in `head`.
fn restored_manifest(
    head: &Manifest,
    former: &Manifest,
    metadata: &ChangeMetadata,
) -> (Manifest, RebasedChange) {
    let version = head.version + 1;
    let mut next = Manifest {
        version,
        author: metadata.author.clone(),
        at_ms: metadata.at_ms,
        nonce: metadata.nonce.clone(),
        ..Manifest::default()
    };
    let mut files = RebasedChange::default();
    for (file, entry) in &former.files {
        let entry = match head.files.get(file) {
            Some(entry_in_force) if entry_in_force.sha256 == entry.sha256 => entry_in_force.clone(),
            _ => {
                files.put.insert(file.clone());
                FileEntry {
                    sha256: entry.sha256.clone(),
                    version,
                    author: metadata.author.clone(),
                }
            }
        };
        next.files.insert(file.clone(), entry);
    }
    let removed = head
        .files
        .keys()
        .filter(|file| !former.files.contains_key(*file));
    files.removed.extend(removed.cloned());
    (next, files)
}
