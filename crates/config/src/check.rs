//! Checks a folder and reports all problems at once.

use serde::Serialize;

use crate::cross_checks;
use crate::merge;
use crate::Config;
use crate::Folder;
use crate::Problem;
use crate::Problems;

/// Largest content of a file, in bytes; the platform stores values of up to 1 MB.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// The configuration of a folder that passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedConfig {
    /// The merged configuration.
    pub config: Config,
    /// Entries that more than one file declares.
    pub overrides: Vec<Override>,
}

/// An entry that two files declare; the declaration in the later file wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Override {
    /// Path of the entry or limit, such as `models.m`.
    pub field: String,
    /// File whose declaration is used.
    pub file: String,
    /// File whose declaration is replaced.
    pub replaced_file: String,
}

/// Merges the files of a folder and checks the result. An error contains all problems.
pub fn check(folder: &Folder) -> Result<CheckedConfig, Problems> {
    let merged = merge::merge(folder);
    let mut problems = merged.problems.clone();
    problems.extend(oversized(folder));
    let config = match serde_json::from_value::<Config>(merged.to_value()) {
        Ok(config) => config,
        Err(e) => {
            problems.push(deserialise_problem(&e));
            Config::default()
        }
    };
    cross_checks::check(&config, &merged, &mut problems);
    problems.sort();
    problems.dedup();
    match problems.is_empty() {
        true => Ok(CheckedConfig {
            config,
            overrides: merged.overrides,
        }),
        false => Err(Problems { problems }),
    }
}

fn oversized(folder: &Folder) -> impl Iterator<Item = Problem> + '_ {
    folder
        .files
        .iter()
        .filter(|(_, content)| content.len() > MAX_FILE_BYTES)
        .map(|(file, content)| Problem {
            file: file.clone(),
            field: String::new(),
            expected: format!("at most {MAX_FILE_BYTES} bytes"),
            found: format!("{} bytes", content.len()),
        })
}

/// Returns the problem of a merged configuration that can't be deserialised.
fn deserialise_problem(e: &serde_json::Error) -> Problem {
    Problem {
        file: "merged configuration".into(),
        field: String::new(),
        expected: "a configuration".into(),
        found: e.to_string(),
    }
}
