//! The output and exit code of a command.

use std::fmt::Display;
use std::process;

use serde::Serialize;
use serde_json::json;
use serde_json::Value;

use crate::Error;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Ok,
    /// The folder has problems, the change was refused or a step failed.
    Refused,
    /// The arguments are invalid, or a file or folder that they name can't be used.
    Usage,
    /// The change was accepted, but not every live router has applied it yet.
    Lagging,
}

impl ExitCode {
    /// Returns the exit status of the process.
    pub fn number(self) -> u8 {
        match self {
            ExitCode::Ok => 0,
            ExitCode::Refused => 1,
            ExitCode::Usage => 2,
            ExitCode::Lagging => 3,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> process::ExitCode {
        process::ExitCode::from(code.number())
    }
}

/// The output and exit code of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Output as text.
    pub text: String,
    /// Output as JSON.
    pub json: Value,
    /// Exit code of the program.
    pub code: ExitCode,
}

impl Outcome {
    /// Creates an outcome whose text and JSON come from `report`.
    pub fn new<R>(report: &R, code: ExitCode) -> Outcome
    where
        R: Serialize + Display,
    {
        Outcome {
            text: report.to_string(),
            json: serde_json::to_value(report).expect("reports have string keys"),
            code,
        }
    }

    /// Prints the outcome. JSON goes to standard output; text does too, except that of refusals
    /// and usage errors, which goes to standard error.
    pub fn print(&self, as_json: bool) {
        match (as_json, self.code) {
            (true, _) => println!("{}", self.json),
            (false, ExitCode::Ok | ExitCode::Lagging) => println!("{}", self.text),
            (false, ExitCode::Refused | ExitCode::Usage) => eprintln!("{}", self.text),
        }
    }
}

impl From<Error> for Outcome {
    fn from(e: Error) -> Outcome {
        let mut json = json!({ "error": e.to_string() });
        match &e {
            Error::InvalidFolder { source } => json["problems"] = json!(source),
            Error::Conflicting { source } => json["conflicts"] = json!(source),
            _ => {}
        }
        Outcome {
            text: e.to_string(),
            json,
            code: e.exit_code(),
        }
    }
}
