//! `servers`: shows which backend servers get requests of a router, and why the others don't.

use std::fmt;
use std::net::SocketAddr;

use argh::FromArgs;
use relay::ServerReport;
use serde::Serialize;

use crate::router_client::RouterClient;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Shows which backend servers get requests of a router, and why the others don't.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "servers")]
pub struct ServersCommand {
    /// address of the router's metrics page
    #[argh(option)]
    pub router: SocketAddr,
    /// only servers of this service
    #[argh(option)]
    pub service: Option<String>,
}

/// The servers, with their text output.
#[derive(Serialize)]
#[serde(transparent)]
struct Report(Vec<ServerReport>);

impl ServersCommand {
    /// Queries the router and returns what it knows. The exit code says whether any server gets
    /// requests.
    pub async fn run(self) -> Result<Outcome> {
        let client = RouterClient::new(self.router);
        let mut servers: Vec<ServerReport> = client.get("/servers").await?;
        if let Some(service) = &self.service {
            servers.retain(|server| &*server.service == service);
        }
        servers.sort_by(|a, b| (&a.service, &a.server).cmp(&(&b.service, &b.server)));
        let code = match servers.iter().any(|server| server.obstacle.is_none()) {
            true => ExitCode::Ok,
            false => ExitCode::Refused,
        };
        Ok(Outcome::new(&Report(servers), code))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<16} {:<14} {:<8} {:>8} {:>6} {:>7} {:>9}  waits for",
            "server", "service", "build", "requests", "slots", "limit", "silent ms"
        )?;
        for server in &self.0 {
            let limit = server
                .limit_per_s
                .map_or_else(|| "-".to_owned(), |limit| format!("{limit:.1}"));
            let obstacle = server.obstacle.map_or_else(
                || "-".to_owned(),
                |obstacle| format!("{obstacle:?}, {} ms", server.ready_in_ms),
            );
            write!(
                f,
                "\n{:<16} {:<14} {:<8} {:>8} {:>6} {:>7} {:>9}  {obstacle}",
                server.server,
                server.service,
                server.build,
                server.requests,
                server.slots,
                limit,
                server.unresponsive_ms
            )?;
        }
        Ok(())
    }
}
