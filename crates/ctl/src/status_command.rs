//! `status`: shows routers, versions in force, backend servers and leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use argh::FromArgs;
use config::assemble;
use config::Config;
use config::Folder;
use platform::Member;
use platform::Role;
use policy::LoadingSlot;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::AssembleSnafu;
use crate::fleet;
use crate::fleet::LiveRouter;
use crate::load_lease;
use crate::ConfigStore;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Shows routers, versions in force, backend servers and leases.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

#[derive(Serialize)]
struct StatusReport {
    version: u64,
    author: String,
    at_ms: u64,
    routers: Vec<LiveRouter>,
    leaving_routers: Vec<String>,
    backend_servers: Vec<BackendServerState>,
    leases: Vec<LoadingSlot>,
}

/// A backend server, as the configuration and the membership list show it.
#[derive(Serialize)]
struct BackendServerState {
    name: String,
    address: SocketAddr,
    region: String,
    declared: bool,
    listed: bool,
    leaving: bool,
    incarnation: Option<u64>,
}

impl StatusCommand {
    /// Runs the command.
    pub async fn run(self, store: &ConfigStore) -> Result<Outcome> {
        let head = store.head().await?.manifest;
        let config = match head.version {
            0 => Config::default(),
            _ => {
                let contents = store.contents(&head, &Folder::default()).await?;
                assemble(&head, &contents).context(AssembleSnafu)?
            }
        };
        let members = fleet::members(store).await?;
        let statuses = fleet::statuses(store).await?;
        let leaving = statuses.iter().filter(|status| status.leaving);
        let report = StatusReport {
            version: head.version,
            author: head.author,
            at_ms: head.at_ms,
            routers: fleet::live_routers(&members, &statuses),
            leaving_routers: leaving.map(|status| status.vm.clone()).collect(),
            backend_servers: backend_servers(&config, &members),
            leases: load_lease::load_leases(store).await?,
        };
        Ok(Outcome::new(&report, ExitCode::Ok))
    }
}

fn backend_servers(config: &Config, members: &[Member]) -> Vec<BackendServerState> {
    let listed: BTreeMap<&str, &Member> = members
        .iter()
        .filter(|member| member.role == Role::BackendServer)
        .map(|member| (member.name.as_str(), member))
        .collect();
    let declared = config.backend_servers.iter().map(|(name, server)| {
        let member = listed.get(name.as_str());
        BackendServerState {
            name: name.clone(),
            address: server.address,
            region: server.region.clone(),
            declared: true,
            listed: member.is_some(),
            leaving: member.is_some_and(|member| member.leaving),
            incarnation: member.map(|member| member.incarnation),
        }
    });
    let others = listed
        .iter()
        .filter(|(name, _)| !is_declared(config, name))
        .map(|(name, member)| BackendServerState {
            name: (*name).to_owned(),
            address: member.address,
            region: member.region.clone(),
            declared: false,
            listed: true,
            leaving: member.leaving,
            incarnation: Some(member.incarnation),
        });
    declared.chain(others).collect()
}

fn is_declared(config: &Config, name: &str) -> bool {
    let replicas: BTreeSet<&String> = config
        .services
        .values()
        .flat_map(|service| service.replicas.keys())
        .collect();
    config.backend_servers.contains_key(name) || replicas.contains(&name.to_owned())
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            0 => write!(f, "no version yet")?,
            version => write!(
                f,
                "version {version} by {} at_ms={}",
                self.author, self.at_ms
            )?,
        }
        for router in &self.routers {
            let lags = router.version.is_none_or(|version| version < self.version);
            write!(
                f,
                "\nrouter {router}{}",
                if lags { ", lagging" } else { "" }
            )?;
        }
        for router in &self.leaving_routers {
            write!(f, "\nrouter {router}, leaving")?;
        }
        for server in &self.backend_servers {
            write!(f, "\n{server}")?;
        }
        for lease in &self.leases {
            write!(f, "\n{}", load_lease::line(lease))?;
        }
        Ok(())
    }
}

impl fmt::Display for BackendServerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "backend server {} at {} in {}",
            self.name, self.address, self.region
        )?;
        if let Some(incarnation) = self.incarnation {
            write!(f, ", incarnation {incarnation}")?;
        }
        let marks = [
            (!self.listed, "not on the membership list"),
            (!self.declared, "not declared"),
            (self.leaving, "leaving"),
        ];
        for (_, mark) in marks.iter().filter(|(holds, _)| *holds) {
            write!(f, ", {mark}")?;
        }
        Ok(())
    }
}
