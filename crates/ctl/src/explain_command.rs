//! `explain`: shows where a completion would go, and why.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use policy::Explanation;
use policy::Verdict;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::ReadRequestSnafu;
use crate::router_client::RouterClient;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Shows where a completion would go, and why, without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// file with the body of the request, as a caller would post it
    #[argh(positional)]
    pub file: PathBuf,
    /// callers' address of the router to ask
    #[argh(option)]
    pub router: SocketAddr,
    /// bearer token of the workspace
    #[argh(option)]
    pub token: String,
    /// priority class
    #[argh(option)]
    pub priority: Option<String>,
    /// deadline, in milliseconds from now
    #[argh(option)]
    pub deadline_ms: Option<u64>,
    /// the body is one of a chat completion
    #[argh(switch)]
    pub chat: bool,
}

#[derive(Serialize)]
#[serde(transparent)]
struct Report(Explanation);

impl ExplainCommand {
    /// Runs the command.
    pub async fn run(self) -> Result<Outcome> {
        let body = std::fs::read(&self.file).context(ReadRequestSnafu { file: &self.file })?;
        let path = match self.chat {
            true => "/explain/v1/chat/completions",
            false => "/explain/v1/completions",
        };
        let mut headers = vec![("authorization", format!("Bearer {}", self.token))];
        headers.extend(self.priority.map(|class| ("x-priority", class)));
        headers.extend(self.deadline_ms.map(|ms| ("x-deadline-ms", ms.to_string())));
        let client = RouterClient::new(self.router);
        let explanation: Explanation = client.post(path, &headers, body).await?;
        let code = match explanation.verdict {
            Verdict::Refused { .. } => ExitCode::Refused,
            _ => ExitCode::Ok,
        };
        Ok(Outcome::new(&Report(explanation), code))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report(e) = self;
        writeln!(
            f,
            "router {} with version {}: workspace {}, rank {}, {} prompt tokens",
            e.router, e.config_version, e.workspace, e.rank, e.prompt_tokens
        )?;
        for cell in &e.cells {
            writeln!(
                f,
                "cell of {} servers in {}, owner {}: {:.1} ms",
                cell.engines, cell.region, cell.owner, cell.cost_ms
            )?;
        }
        writeln!(
            f,
            "{:<20} {:>8} {:>9} {:>11} {:>9} {:>12} {:>9}  fetched from",
            "server", "cached", "wait ms", "prefill ms", "price ms", "preference", "sum ms"
        )?;
        for engine in &e.engines {
            writeln!(
                f,
                "{:<20} {:>8} {:>9.1} {:>11.1} {:>9.1} {:>12.1} {:>9.1}  {}",
                engine.server,
                engine.cached_tokens,
                engine.wait_ms,
                engine.prefill_ms,
                engine.price_ms,
                engine.preference_ms,
                engine.cost_ms,
                engine.fetch_from.as_deref().unwrap_or("-")
            )?;
        }
        write_verdict(f, &e.verdict)
    }
}

fn write_verdict(f: &mut fmt::Formatter<'_>, verdict: &Verdict) -> fmt::Result {
    match verdict {
        Verdict::Sent { server } => write!(f, "sent to {server}"),
        Verdict::OwnerAsked { owner, server } => {
            write!(
                f,
                "owner {owner} is asked; without its answer sent to {server}"
            )
        }
        Verdict::Quarantined => write!(f, "run alone, for an engine that ran it broke"),
        Verdict::Refused {
            reason,
            retry_after_ms,
        } => match retry_after_ms {
            Some(ms) => write!(f, "refused: {reason}, come back after {ms} ms"),
            None => write!(f, "refused: {reason}"),
        },
    }
}
