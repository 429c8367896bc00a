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
use crate::loading_slot;
use crate::ConfigStore;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Shows routers, versions in force, backend servers and leases.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// The current version and the state of the routers, backend servers and weights loads.
#[derive(Serialize)]
struct StatusReport {
    version: u64,
    author: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    at_ms: u64,
    routers: Vec<LiveRouter>,
    leaving_routers: Vec<String>,
    backend_servers: Vec<BackendServerState>,
    leases: Vec<LoadingSlot>,
}

/// A backend server that the configuration declares or the membership list contains.
#[derive(Serialize)]
struct BackendServerState {
    name: String,
    address: SocketAddr,
    region: String,
    /// Whether the configuration declares it.
    declared: bool,
    /// Whether the membership list contains it.
    listed: bool,
    /// Whether it is shutting down, according to the membership list.
    leaving: bool,
    /// Incarnation in the membership list, which increases with each start.
    incarnation: Option<u64>,
}

impl StatusCommand {
    /// Reads the configuration, the routers' states, the membership list and the leases.
    pub async fn run(self, store: &ConfigStore) -> Result<Outcome> {
        let head = store.read_head().await?.manifest;
        let config = match head.version {
            0 => Config::default(),
            _ => {
                let contents = store.read_contents(&head, &Folder::default()).await?;
                assemble(&head, &contents).context(AssembleSnafu)?
            }
        };
        let members = fleet::read_members(store).await?;
        let statuses = fleet::read_statuses(store).await?;
        let leaving = statuses.iter().filter(|status| status.leaving);
        let report = StatusReport {
            version: head.version,
            author: head.author,
            at_ms: head.at_ms,
            routers: fleet::live_routers(&members, &statuses),
            leaving_routers: leaving.map(|status| status.vm.clone()).collect(),
            backend_servers: backend_servers(&config, &members),
            leases: loading_slot::read_loading_slots(store).await?,
        };
        Ok(Outcome::new(&report, ExitCode::Ok))
    }
}

/// Returns the declared backend servers, then listed ones that aren't declared.
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

/// Returns whether the configuration declares a backend server or a replica of this name.
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
            let is_lagging = router.version.is_none_or(|version| version < self.version);
            write!(
                f,
                "\nrouter {router}{}",
                if is_lagging { ", lagging" } else { "" }
            )?;
        }
        for router in &self.leaving_routers {
            write!(f, "\nrouter {router}, leaving")?;
        }
        for server in &self.backend_servers {
            write!(f, "\n{server}")?;
        }
        for lease in &self.leases {
            write!(f, "\n{}", loading_slot::describe(lease))?;
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
        let notes = [
            (!self.listed, "not on the membership list"),
            (!self.declared, "not declared"),
            (self.leaving, "leaving"),
        ];
        for (_, note) in notes.iter().filter(|(applies, _)| *applies) {
            write!(f, ", {note}")?;
        }
        Ok(())
    }
}
