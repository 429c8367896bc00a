//! Backend servers and service replicas, from the configuration and the membership list.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use config::Config;

use crate::interner::Interner;
use crate::interner::NameKey;
use crate::rendezvous;
use crate::Incarnation;
use crate::Member;
use crate::MemberRole;
use crate::ServerInstance;
use crate::ServerKey;
use crate::Time;

/// The kind of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    /// A model engine, with the models it may serve and the workspaces it may
    /// serve them to; no workspaces means all.
    Engine {
        models: Vec<NameKey>,
        workspaces: Vec<NameKey>,
    },
    /// A replica of a plain service.
    Replica { service: String },
}

/// A backend server or service replica.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) name: String,
    /// Hash of the name, for rendezvous hashing.
    pub(crate) name_hash: u64,
    pub(crate) address: SocketAddr,
    pub(crate) region: NameKey,
    pub(crate) failure_domain: NameKey,
    pub(crate) kind: ServerKind,
    pub(crate) checks_fencing: bool,
    /// Prefill time of a prompt token, in microseconds.
    pub(crate) prefill_us_per_token: f64,
    /// Highest incarnation seen so far.
    pub(crate) incarnation: Incarnation,
    /// Whether the configuration declares it.
    pub(crate) declared: bool,
    /// Whether it is on the membership list.
    pub(crate) listed: bool,
    /// Latest incarnation known to be leaving; all earlier ones are leaving too.
    pub(crate) leaving: Option<Incarnation>,
    /// Time until which the server is used only if no other is available.
    pub(crate) suspect_until: Time,
    /// Time of the last message from the server.
    pub(crate) last_contact_at: Time,
}

impl Server {
    /// Returns whether the current incarnation is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
            .is_some_and(|leaving| leaving >= self.incarnation)
    }

    /// Returns whether new work may be sent to the server.
    pub(crate) fn accepts_work(&self, any_listed: bool) -> bool {
        self.declared && (self.listed || !any_listed) && !self.is_leaving()
    }
}

/// All backend servers and service replicas.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: Vec<Server>,
    by_name: HashMap<String, ServerKey>,
    /// Servers by the VM on which they run.
    by_vm: HashMap<String, Vec<ServerKey>>,
    by_service: HashMap<String, Vec<ServerKey>>,
    any_listed: bool,
    pub(crate) regions: Interner,
    pub(crate) failure_domains: Interner,
    pub(crate) models: Interner,
    pub(crate) workspaces: Interner,
}

impl Fleet {
    /// Applies a new configuration.
    pub(crate) fn on_config(&mut self, cfg: &Config) {
        for server in &mut self.servers {
            server.declared = false;
        }
        self.by_service.clear();
        self.by_vm.clear();
        for name in cfg.workspaces.keys() {
            self.workspaces.intern(name);
        }
        for name in cfg.models.keys() {
            self.models.intern(name);
        }
        for (name, server) in &cfg.backend_servers {
            self.declare_engine(name, server, cfg);
        }
        for (name, service) in &cfg.services {
            for (replica, address) in &service.replicas {
                self.declare_replica(name, replica, *address);
            }
        }
    }

    fn declare_engine(&mut self, name: &str, declared: &config::BackendServer, cfg: &Config) {
        let models = declared
            .models
            .iter()
            .map(|m| self.models.intern(m))
            .collect();
        let workspaces = declared
            .workspaces
            .iter()
            .map(|w| self.workspaces.intern(w))
            .collect();
        let kind = ServerKind::Engine { models, workspaces };
        let key = self.declare(name, declared.address, kind);
        self.by_vm.entry(name.to_owned()).or_default().push(key);
        let region = self.regions.intern(&declared.region);
        let failure_domain = self.failure_domains.intern(&declared.failure_domain);
        let server = &mut self.servers[key.0 as usize];
        server.region = region;
        server.failure_domain = failure_domain;
        server.checks_fencing = declared.checks_fencing;
        server.prefill_us_per_token = slowest_prefill(declared, cfg);
    }

    fn declare_replica(&mut self, service: &str, replica: &str, address: SocketAddr) {
        let name = format!("{service}/{replica}");
        let kind = ServerKind::Replica {
            service: service.to_owned(),
        };
        let key = self.declare(&name, address, kind);
        self.by_vm.entry(replica.to_owned()).or_default().push(key);
        self.by_service
            .entry(service.to_owned())
            .or_default()
            .push(key);
    }

    fn declare(&mut self, name: &str, address: SocketAddr, kind: ServerKind) -> ServerKey {
        if let Some(key) = self.by_name.get(name) {
            let server = &mut self.servers[key.0 as usize];
            server.address = address;
            server.kind = kind;
            server.declared = true;
            return *key;
        }
        let key = ServerKey(u32::try_from(self.servers.len()).expect("fewer than 2^32 servers"));
        self.servers.push(Server {
            name: name.to_owned(),
            name_hash: rendezvous::name_hash(name),
            address,
            region: self.regions.intern(""),
            failure_domain: self.failure_domains.intern(""),
            kind,
            checks_fencing: false,
            prefill_us_per_token: 0.0,
            incarnation: Incarnation::default(),
            declared: true,
            listed: false,
            leaving: None,
            suspect_until: Time::default(),
            last_contact_at: Time::default(),
        });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Applies the membership list and returns the servers with a new incarnation.
    pub(crate) fn on_members(&mut self, members: &[Member]) -> Vec<ServerKey> {
        let mut reset = Vec::new();
        let mut listed = BTreeSet::new();
        for member in members {
            if member.role != MemberRole::BackendServer {
                continue;
            }
            for key in self.by_vm.get(&member.name).cloned().unwrap_or_default() {
                listed.insert(key);
                if self.on_member(key, member) {
                    reset.push(key);
                }
            }
        }
        self.any_listed = !listed.is_empty();
        for (i, server) in self.servers.iter_mut().enumerate() {
            server.listed = listed.contains(&ServerKey(i as u32));
        }
        reset
    }

    /// Applies a server's entry of the membership list; returns whether its incarnation is new.
    fn on_member(&mut self, key: ServerKey, member: &Member) -> bool {
        if let ServerKind::Replica { .. } = self.server(key).kind {
            let region = self.regions.intern(&member.region);
            let failure_domain = self.failure_domains.intern(&member.failure_domain);
            let server = &mut self.servers[key.0 as usize];
            server.region = region;
            server.failure_domain = failure_domain;
        }
        if member.leaving {
            self.mark_leaving(key, member.incarnation);
        }
        self.on_incarnation(key, member.incarnation)
    }

    /// Records an observed incarnation; returns whether it is new.
    pub(crate) fn on_incarnation(&mut self, key: ServerKey, incarnation: Incarnation) -> bool {
        let server = &mut self.servers[key.0 as usize];
        if incarnation <= server.incarnation {
            return false;
        }
        server.incarnation = incarnation;
        server.suspect_until = Time::default();
        true
    }

    /// Marks an incarnation as leaving; returns whether that was unknown.
    pub(crate) fn mark_leaving(&mut self, key: ServerKey, incarnation: Incarnation) -> bool {
        let server = &mut self.servers[key.0 as usize];
        let changed = server.leaving.is_none_or(|leaving| leaving < incarnation);
        if changed {
            server.leaving = Some(incarnation);
        }
        changed
    }

    /// Records that the server has sent something.
    pub(crate) fn record_contact(&mut self, key: ServerKey, now: Time) {
        self.servers[key.0 as usize].last_contact_at = now;
    }

    /// Marks a server as suspect, so that it is used only as a last resort before `until`.
    pub(crate) fn mark_suspect(&mut self, key: ServerKey, until: Time) {
        self.servers[key.0 as usize].suspect_until = until;
    }

    /// Returns the leaving incarnation of each listed server whose current incarnation is leaving.
    pub(crate) fn leaving_instances(&self) -> Vec<ServerInstance> {
        self.servers
            .iter()
            .filter(|s| s.is_leaving() && s.listed)
            .filter_map(|s| {
                Some(ServerInstance {
                    server: s.name.clone(),
                    incarnation: s.leaving?,
                })
            })
            .collect()
    }

    /// Returns whether an engine may be sent requests of a workspace now.
    pub(crate) fn may_serve(&self, key: ServerKey, workspace: NameKey) -> bool {
        let server = self.server(key);
        let ServerKind::Engine { workspaces, .. } = &server.kind else {
            return false;
        };
        let allowed = workspaces.is_empty() || workspaces.contains(&workspace);
        allowed && server.accepts_work(self.any_listed)
    }

    /// Returns the replicas of a service that are not leaving.
    pub(crate) fn replicas(&self, service: &str) -> Vec<ServerKey> {
        let Some(keys) = self.by_service.get(service) else {
            return Vec::new();
        };
        keys.iter()
            .copied()
            .filter(|key| !self.server(*key).is_leaving())
            .collect()
    }

    /// Returns the server with this key.
    pub(crate) fn server(&self, key: ServerKey) -> &Server {
        &self.servers[key.0 as usize]
    }

    /// Returns the key of the server with this name.
    pub(crate) fn find(&self, name: &str) -> Option<ServerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the keys of all engines that the configuration declares.
    pub(crate) fn declared_engines(&self) -> Vec<ServerKey> {
        (0..self.servers.len())
            .map(|i| ServerKey(i as u32))
            .filter(|key| {
                let server = self.server(*key);
                server.declared && matches!(server.kind, ServerKind::Engine { .. })
            })
            .collect()
    }
}

/// Returns the prefill time of the server's slowest model, in microseconds per token.
fn slowest_prefill(declared: &config::BackendServer, cfg: &Config) -> f64 {
    declared
        .models
        .iter()
        .filter_map(|name| cfg.models.get(name))
        .map(|model| model.prefill_ms_per_1000_tokens)
        .fold(0.0, f64::max)
}
