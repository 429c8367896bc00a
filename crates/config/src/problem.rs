//! Faults found in a folder.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// A fault in a file of the folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Path of the field, empty for the whole file.
    pub field: String,
    /// What was expected there.
    pub expected: String,
    /// What is there instead.
    pub found: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "expected {}, found {}", self.expected, self.found)
    }
}

/// All faults of a folder, in the order of files and fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}", lines(problems)))]
#[serde(transparent)]
pub struct Problems {
    /// The faults; never empty.
    pub problems: Vec<Problem>,
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
