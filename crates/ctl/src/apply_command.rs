//! `apply`: publishes a folder as the next version of the configuration.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use config::next_base;
use config::rebase;
use config::ChangeMetadata;
use config::Folder;
use config::Manifest;
use config::Override;
use config::RebasedChange;
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::author;
use crate::base_file::BaseFile;
use crate::checked_folder;
use crate::checked_folder::CheckedFolder;
use crate::error::ConflictingSnafu;
use crate::prune;
use crate::publish::publish;
use crate::publish::PublishOutcome;
use crate::rollout;
use crate::rollout::Progress;
use crate::rollout::Rollout;
use crate::ConfigStore;
use crate::Error;
use crate::Outcome;
use crate::Result;

/// Default time that a command waits for the routers, in seconds.
pub(crate) const DEFAULT_WAIT_S: u64 = 10;

/// Publishes a folder and waits until it is in force on every live router.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// folder of configuration files
    #[argh(positional)]
    pub dir: PathBuf,
    /// version on which the folder is based (default: from its base file)
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the operator (default: USER)
    #[argh(option)]
    pub author: Option<String>,
    /// seconds to wait for the routers
    #[argh(option, default = "DEFAULT_WAIT_S")]
    pub wait_s: u64,
}

/// Result of `apply` or `rollback`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ApplyReport {
    /// Version that was published, or the current one if there was nothing to change.
    pub version: u64,
    /// Whether a new version was published; `false` if there was nothing to change.
    pub accepted: bool,
    /// Files that the change put or removed, and files of other operators that it kept.
    #[serde(flatten)]
    pub files: RebasedChange,
    /// Entries that more than one file of the folder declares.
    pub overrides: Vec<Override>,
    /// Routers that have and haven't applied the version.
    pub rollout: Rollout,
}

impl ApplyCommand {
    /// Checks and publishes the folder, updates its base file and waits for the routers.
    pub async fn run(self, store: &ConfigStore, progress: &Progress) -> Result<Outcome> {
        let metadata = author::change_metadata(self.author.clone());
        let checked_folder = CheckedFolder::read(&self.dir)?;
        let identity = store.ensure_identity().await?;
        let (manifest, files, base) = self
            .submit(store, &checked_folder.folder, &metadata)
            .await?;
        let accepted = !files.is_empty();
        if accepted {
            progress(&format!("version {}: accepted", manifest.version));
        }
        let base = BaseFile {
            identity,
            manifest: next_base(&base, &checked_folder.folder, &manifest),
        };
        if let Err(e) = base.write(&self.dir) {
            progress(&format!("the base file can't be written: {e}"));
        }
        if accepted {
            if let Err(e) = prune::prune(store, &manifest).await {
                progress(&format!("the history can't be pruned: {e}"));
            }
        }
        let deadline = Instant::now() + Duration::from_secs(self.wait_s);
        let rollout = rollout::wait(store, manifest.version, deadline, progress).await;
        let code = rollout.exit_code();
        let report = ApplyReport {
            version: manifest.version,
            accepted,
            files,
            overrides: checked_folder.checked.overrides,
            rollout,
        };
        Ok(Outcome::new(&report, code))
    }

    /// Publishes the change and returns the new manifest, what it changed and the base.
    ///
    /// If another change is accepted first, the change is rebased again and retried until
    /// it is accepted or refused, nothing is left to change, or the deadline has passed.
    async fn submit(
        &self,
        store: &ConfigStore,
        local: &Folder,
        metadata: &ChangeMetadata,
    ) -> Result<(Manifest, RebasedChange, Manifest)> {
        let mut head = store.read_head().await?;
        let base = checked_folder::base_manifest(store, &head, &self.dir, self.base).await?;
        loop {
            let current = &head.manifest;
            let files =
                rebase(&base, local, current, &metadata.author).context(ConflictingSnafu)?;
            if files.is_empty() {
                return Ok((head.manifest, files, base));
            }
            let next = files.manifest(local, current, metadata);
            match publish(store, &head, &next, local).await? {
                PublishOutcome::Accepted => return Ok((next, files, base)),
                PublishOutcome::HeadChanged => head = store.read_head().await?,
            }
            if Instant::now() > store.client().deadline() {
                let version = head.manifest.version;
                return Err(Error::HeadChanged { version });
            }
        }
    }
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.accepted {
            true => write!(f, "version {}: accepted", self.version)?,
            false => write!(f, "version {}: nothing to change", self.version)?,
        }
        for file in &self.files.put {
            write!(f, "\nput {file}")?;
        }
        for file in &self.files.removed {
            write!(f, "\nremoved {file}")?;
        }
        for file in &self.files.kept {
            write!(f, "\nkept {file}, which others changed")?;
        }
        for Override {
            field,
            file,
            replaced_file,
        } in &self.overrides
        {
            write!(f, "\n{field}: {file} replaces {replaced_file}")?;
        }
        write!(f, "\n{}", self.rollout)
    }
}
