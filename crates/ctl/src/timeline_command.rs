//! `timeline`: shows changes of belief over all routers, from their logs.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;

use crate::ExitCode;
use crate::LogFiles;
use crate::Outcome;
use crate::Result;

/// Shows changes of belief over all routers, from their logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// logs of routers; standard input without any
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Lines that are not about one request.
#[derive(Debug, Serialize)]
pub struct Timeline {
    /// Lines in the order of their times.
    pub lines: Vec<String>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

impl TimelineCommand {
    /// Runs the command.
    pub fn run(self) -> Result<Outcome> {
        let timeline = Timeline::collect(&LogFiles::read(&self.files)?);
        Ok(Outcome::new(&timeline, ExitCode::Ok))
    }
}

impl Timeline {
    /// Gathers the changes of belief.
    pub fn collect(logs: &LogFiles) -> Timeline {
        let changes = logs.lines.iter().filter(|line| !line.has_request_id());
        Timeline {
            lines: changes.map(|line| line.text.clone()).collect(),
            unreadable: logs.unreadable,
        }
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "lines that could not be read: {}", self.unreadable)
    }
}
