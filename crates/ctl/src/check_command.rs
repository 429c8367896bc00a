//! `check`: checks a folder without contacting the platform.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use config::Override;
use serde::Serialize;

use crate::checked_folder::CheckedFolder;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Checks a folder and reports all problems at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// folder of configuration files
    #[argh(positional)]
    pub dir: PathBuf,
}

#[derive(Serialize)]
struct CheckReport {
    files: Vec<String>,
    overrides: Vec<Override>,
}

impl CheckCommand {
    /// Checks the folder and returns the report; problems are returned as an error.
    pub fn run(self) -> Result<Outcome> {
        let checked_folder = CheckedFolder::read(&self.dir)?;
        let report = CheckReport {
            files: checked_folder.folder.files.into_keys().collect(),
            overrides: checked_folder.checked.overrides,
        };
        Ok(Outcome::new(&report, ExitCode::Ok))
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no faults in {}", self.files.join(", "))?;
        for replaced in &self.overrides {
            let Override {
                field,
                file,
                replaced_file,
            } = replaced;
            write!(f, "\n{field}: {file} replaces {replaced_file}")?;
        }
        Ok(())
    }
}
