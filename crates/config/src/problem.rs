//! Problems that the checks find in a folder.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// A problem in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Path of the field; empty if the problem concerns the whole file.
    pub field: String,
    /// Description of a valid value.
    pub expected: String,
    /// The value or condition that was found instead.
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

/// All problems of a folder, sorted by file and field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}", lines(problems)))]
#[serde(transparent)]
pub struct Problems {
    /// The problems; never empty.
    pub problems: Vec<Problem>,
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
