//! `trace`: shows the log lines of one request, with the view changes that may explain them.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;

use crate::ExitCode;
use crate::LogFiles;
use crate::LogLine;
use crate::Outcome;
use crate::Result;

/// Maximum number of view changes that are shown; the latest are kept.
const MAX_VIEW_CHANGES: usize = 20;

/// Shows the log lines of one request from router logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the request
    #[argh(positional)]
    pub id: String,
    /// log files of routers (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// The log lines of a request, and the view changes that may have affected it.
#[derive(Debug, Serialize)]
pub struct RequestTrace {
    /// Lines of the request in the order of time.
    pub request: Vec<String>,
    /// Changes in the view of the request's routers, up to its last line: those of the backend
    /// servers that its lines mention, and those that concern no single server.
    pub beliefs: Vec<String>,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

impl TraceCommand {
    /// Reads the logs and returns the trace; the exit code is `Refused` if no line has the id.
    pub fn run(self) -> Result<Outcome> {
        let logs = LogFiles::read(&self.files)?;
        let trace = RequestTrace::collect(&self.id, &logs);
        let code = if trace.request.is_empty() {
            ExitCode::Refused
        } else {
            ExitCode::Ok
        };
        Ok(Outcome::new(&trace, code))
    }
}

impl RequestTrace {
    /// Collects the trace of the request `id` from the logs.
    pub fn collect(id: &str, logs: &LogFiles) -> RequestTrace {
        let has_id = |line: &&LogLine| line.field("id") == Some(id);
        let request: Vec<&LogLine> = logs.lines.iter().filter(has_id).collect();
        let routers: BTreeSet<&str> = request.iter().map(|line| line.router.as_str()).collect();
        let servers = request.iter().filter_map(|line| line.field("server"));
        let servers: BTreeSet<&str> = servers.collect();
        let end = request.last().map_or("", |line| line.time.as_str());
        let is_relevant = |line: &&LogLine| {
            let server = line.field("server");
            !line.has_request_id()
                && line.time.as_str() <= end
                && routers.contains(line.router.as_str())
                && server.is_none_or(|server| servers.contains(server))
        };
        let beliefs: Vec<&LogLine> = logs.lines.iter().filter(is_relevant).collect();
        let skipped = beliefs.len().saturating_sub(MAX_VIEW_CHANGES);
        let text = |line: &&LogLine| line.text.clone();
        RequestTrace {
            request: request.iter().map(text).collect(),
            beliefs: beliefs[skipped..].iter().map(text).collect(),
            unreadable: logs.unreadable,
        }
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "changes in the router's view until the request's end:")?;
        for line in &self.beliefs {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "the request:")?;
        for line in &self.request {
            writeln!(f, "  {line}")?;
        }
        write!(f, "lines that could not be read: {}", self.unreadable)
    }
}
