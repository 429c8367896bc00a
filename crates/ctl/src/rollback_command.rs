//! `rollback`: brings a former version back as a new one.

use std::time::Duration;

use argh::FromArgs;
use config::FileEntry;
use config::Folder;
use config::Maker;
use config::Manifest;
use config::Rebased;
use tokio::time::Instant;

use crate::apply_command::DEFAULT_WAIT_S;
use crate::author;
use crate::publish::publish;
use crate::publish::Published;
use crate::rollout;
use crate::rollout::Progress;
use crate::ApplyReport;
use crate::ConfigStore;
use crate::Error;
use crate::Outcome;
use crate::Result;

/// Brings the files of a former version back, as a new version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackCommand {
    /// version whose files are brought back
    #[argh(positional)]
    pub version: u64,
    /// name of the operator, instead of USER
    #[argh(option)]
    pub author: Option<String>,
    /// seconds to wait for the routers
    #[argh(option, default = "DEFAULT_WAIT_S")]
    pub wait_s: u64,
}

impl RollbackCommand {
    /// Runs the command; a change that is accepted meanwhile makes it refused.
    pub async fn run(self, store: &ConfigStore, progress: &Progress) -> Result<Outcome> {
        let maker = author::maker(self.author);
        let head = store.head().await?;
        let former = store.manifest_at(self.version, &head).await?;
        let (next, files) = follow(&head.manifest, &former, &maker);
        let accepted = !files.is_empty();
        if accepted {
            let published = publish(store, &head, &next, &Folder::default()).await?;
            if published == Published::Raced {
                let version = store.head().await?.manifest.version;
                return Err(Error::Outrun { version });
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
fn follow(head: &Manifest, former: &Manifest, maker: &Maker) -> (Manifest, Rebased) {
    let version = head.version + 1;
    let mut next = Manifest {
        version,
        author: maker.author.clone(),
        at_ms: maker.at_ms,
        nonce: maker.nonce.clone(),
        ..Manifest::default()
    };
    let mut files = Rebased::default();
    for (file, entry) in &former.files {
        let entry = match head.files.get(file) {
            Some(held) if held.sha256 == entry.sha256 => held.clone(),
            _ => {
                files.put.insert(file.clone());
                FileEntry {
                    sha256: entry.sha256.clone(),
                    version,
                    author: maker.author.clone(),
                }
            }
        };
        next.files.insert(file.clone(), entry);
    }
    let gone = head
        .files
        .keys()
        .filter(|file| !former.files.contains_key(*file));
    files.removed.extend(gone.cloned());
    (next, files)
}
