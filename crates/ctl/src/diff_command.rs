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
use config::Rebased;
use serde::Serialize;
use snafu::ResultExt;

use crate::author;
use crate::checked_folder;
use crate::checked_folder::Declared;
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
    /// version on which the folder is based, instead of its base file
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the operator, instead of USER
    #[argh(option)]
    pub author: Option<String>,
}

#[derive(Serialize)]
struct DiffReport {
    version: u64,
    #[serde(flatten)]
    files: Rebased,
    fields: Vec<Difference>,
}

impl DiffCommand {
    /// Runs the command.
    pub async fn run(self, store: &ConfigStore) -> Result<Outcome> {
        let own = Declared::read(&self.dir)?.folder;
        let maker = author::maker(self.author);
        let head = store.head().await?;
        let base = checked_folder::base(store, &head, &self.dir, self.base).await?;
        let files = rebase(&base, &own, &head.manifest, &maker.author).context(ConflictingSnafu)?;
        let next = files.manifest(&own, &head.manifest, &maker);
        let before = configuration(store, &head.manifest, &own).await?;
        let after = configuration(store, &next, &own).await?;
        let report = DiffReport {
            version: head.manifest.version,
            files,
            fields: diff(&before, &after),
        };
        Ok(Outcome::new(&report, ExitCode::Ok))
    }
}

async fn configuration(store: &ConfigStore, manifest: &Manifest, own: &Folder) -> Result<Config> {
    let contents = store.contents(manifest, own).await?;
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
