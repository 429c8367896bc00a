//! `diff`: shows what applying a folder would change.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use config::assemble;
use config::diff;
use config::rebase;
use config::Config;
use config::Difference;
use config::Folder;
use config::Manifest;
use config::RebasedChange;
use serde::Serialize;
use snafu::ResultExt;

use crate::author;
use crate::checked_folder;
use crate::checked_folder::CheckedFolder;
use crate::error::AssembleSnafu;
use crate::error::ConflictingSnafu;
use crate::ConfigStore;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Shows what applying a folder would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// folder of configuration files
    #[argh(positional)]
    pub dir: PathBuf,
    /// version on which the folder is based (default: from its base file)
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the operator (default: USER)
    #[argh(option)]
    pub author: Option<String>,
}

#[derive(Serialize)]
struct DiffReport {
    version: u64,
    #[serde(flatten)]
    files: RebasedChange,
    fields: Vec<Difference>,
}

impl DiffCommand {
    /// Returns the files and fields that `apply` would change.
    pub async fn run(self, store: &ConfigStore) -> Result<Outcome> {
        let local = CheckedFolder::read(&self.dir)?.folder;
        let metadata = author::change_metadata(self.author);
        let head = store.read_head().await?;
        let base = checked_folder::base_manifest(store, &head, &self.dir, self.base).await?;
        let files =
            rebase(&base, &local, &head.manifest, &metadata.author).context(ConflictingSnafu)?;
        let next = files.manifest(&local, &head.manifest, &metadata);
        let before = configuration(store, &head.manifest, &local).await?;
        let after = configuration(store, &next, &local).await?;
        let report = DiffReport {
            version: head.manifest.version,
            files,
            fields: diff(&before, &after),
        };
        Ok(Outcome::new(&report, ExitCode::Ok))
    }
}

async fn configuration(store: &ConfigStore, manifest: &Manifest, local: &Folder) -> Result<Config> {
    let contents = store.read_contents(manifest, local).await?;
    assemble(manifest, &contents).context(AssembleSnafu)
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "against version {}", self.version)?;
        for file in &self.files.put {
            write!(f, "\nput {file}")?;
        }
        for file in &self.files.removed {
            write!(f, "\nremove {file}")?;
        }
        for file in &self.files.kept {
            write!(f, "\nkeep {file}, which others changed")?;
        }
        for field in &self.fields {
            write!(f, "\n{field}")?;
        }
        match self.files.is_empty() {
            true => write!(f, "\nnothing to apply"),
            false => Ok(()),
        }
    }
}
