//! `timeline`: shows how the views of all routers changed, from their logs.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;

use crate::ExitCode;
use crate::LogFiles;
use crate::Outcome;
use crate::Result;

/// Shows how the views of all routers changed, from their logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// log files of routers (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Log lines of all routers that aren't about a single request.
#[derive(Debug, Serialize)]
pub struct Timeline {
    /// Lines in the order of time.
    pub lines: Vec<String>,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

impl TimelineCommand {
    /// Reads the logs and returns the timeline.
    pub fn run(self) -> Result<Outcome> {
        let timeline = Timeline::collect(&LogFiles::read(&self.files)?);
        Ok(Outcome::new(&timeline, ExitCode::Ok))
    }
}

impl Timeline {
    /// Collects the lines from the logs.
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
