//! `history`: lists the versions of the configuration.

use std::fmt;

use argh::FromArgs;
use config::Manifest;
use serde::Serialize;

use crate::ConfigStore;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Lists the versions that the platform keeps, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {}

#[derive(Serialize)]
struct HistoryReport {
    versions: Vec<Manifest>,
}

impl HistoryCommand {
    /// Reads the history and the current version.
    pub async fn run(self, store: &ConfigStore) -> Result<Outcome> {
        let former = store.read_history().await?;
        let head = store.read_head().await?.manifest;
        let older = former.into_iter().filter(|old| old.version < head.version);
        let mut versions: Vec<Manifest> = older.collect();
        if head.version > 0 {
            versions.push(head);
        }
        versions.reverse();
        Ok(Outcome::new(&HistoryReport { versions }, ExitCode::Ok))
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.versions.is_empty() {
            return write!(f, "no version yet");
        }
        for (i, manifest) in self.versions.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            let Manifest {
                version,
                author,
                at_ms,
                nonce,
                ..
            } = manifest;
            write!(
                f,
                "{separator}version {version} by {author} at_ms={at_ms} nonce={nonce}"
            )?;
            let changed = manifest
                .files
                .iter()
                .filter(|(_, entry)| entry.version == *version);
            for (file, _) in changed {
                write!(f, "\n    {file}")?;
            }
        }
        Ok(())
    }
}
