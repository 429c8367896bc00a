//! `trace`: tells one request's story from routers' logs.

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

/// Changes of belief before a request that are shown.
const MAX_VIEW_CHANGES: usize = 20;

/// Tells one request's story from routers' logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the request
    #[argh(positional)]
    pub id: String,
    /// logs of routers; standard input without any
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// A request's lines, and the changes of belief that bear on it.
#[derive(Debug, Serialize)]
pub struct RequestTrace {
    /// Lines of the request.
    pub request: Vec<String>,
    /// Changes of what its router believed of its servers, until its end.
    pub beliefs: Vec<String>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

impl TraceCommand {
    /// Runs the command.
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
    /// Gathers a request's story.
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
        writeln!(f, "what its router had learned of its servers:")?;
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
