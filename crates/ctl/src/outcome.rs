//! What a command prints and the exit code that it ends with.

use std::fmt::Display;
use std::process;

use serde::Serialize;
use serde_json::json;
use serde_json::Value;

use crate::Error;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command did what it is for.
    Ok,
    /// Faults were found, or the change was refused.
    Refused,
    /// The arguments, or the files that they name, can't be used.
    Usage,
    /// The change was accepted, but isn't in force on every live router yet.
    Lagging,
}

impl ExitCode {
    /// Returns the number that the process ends with.
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

/// What a command prints and the exit code that it ends with.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Text for people.
    pub text: String,
    /// The same for machines.
    pub json: Value,
    /// Exit code.
    pub code: ExitCode,
}

impl Outcome {
    /// Creates the outcome of a command from its report.
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

    /// Prints the outcome: JSON to standard output, text of refusals to standard error.
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
