//! Backend servers and service replicas, from configuration and membership.

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

/// What a server runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    /// A model engine with the models it may serve and the workspaces it may
    /// serve them to, none for all.
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
    /// Time to compute one prompt token, in microseconds.
    pub(crate) prefill_us_per_token: f64,
    /// Highest incarnation seen.
    pub(crate) incarnation: Incarnation,
    /// Whether the configuration declares it.
    pub(crate) declared: bool,
    /// Whether the membership list shows it.
    pub(crate) listed: bool,
    /// Incarnation that is leaving, with all before it.
    pub(crate) leaving: Option<Incarnation>,
    /// Time until which it is only used when no other server is left.
    pub(crate) suspect_until: Time,
    /// Time at which something was last heard of it.
    pub(crate) heard_at: Time,
}

impl Server {
    /// Tells whether the present incarnation is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|mark| mark >= self.incarnation)
    }

    /// Tells whether the server may be given new work.
    pub(crate) fn takes_work(&self, any_listed: bool) -> bool {
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
    pub(crate) domains: Interner,
    pub(crate) models: Interner,
    pub(crate) workspaces: Interner,
}

impl Fleet {
    /// Takes a new configuration in.
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
        let failure_domain = self.domains.intern(&declared.failure_domain);
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
            failure_domain: self.domains.intern(""),
            kind,
            checks_fencing: false,
            prefill_us_per_token: 0.0,
            incarnation: Incarnation::default(),
            declared: true,
            listed: false,
            leaving: None,
            suspect_until: Time::default(),
            heard_at: Time::default(),
        });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Takes the membership list in and returns the servers with a new incarnation.
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

    /// Takes a server's entry on the list in; tells whether it is a new incarnation.
    fn on_member(&mut self, key: ServerKey, member: &Member) -> bool {
        if let ServerKind::Replica { .. } = self.server(key).kind {
            let region = self.regions.intern(&member.region);
            let failure_domain = self.domains.intern(&member.failure_domain);
            let server = &mut self.servers[key.0 as usize];
            server.region = region;
            server.failure_domain = failure_domain;
        }
        if member.leaving {
            self.mark_leaving(key, member.incarnation);
        }
        self.on_incarnation(key, member.incarnation)
    }

    /// Takes in that `incarnation` of a server was seen; tells whether it is a new one.
    pub(crate) fn on_incarnation(&mut self, key: ServerKey, incarnation: Incarnation) -> bool {
        let server = &mut self.servers[key.0 as usize];
        if incarnation <= server.incarnation {
            return false;
        }
        server.incarnation = incarnation;
        server.suspect_until = Time::default();
        true
    }

    /// Marks an incarnation as leaving; tells whether this is news.
    pub(crate) fn mark_leaving(&mut self, key: ServerKey, incarnation: Incarnation) -> bool {
        let server = &mut self.servers[key.0 as usize];
        let news = server.leaving.is_none_or(|mark| mark < incarnation);
        if news {
            server.leaving = Some(incarnation);
        }
        news
    }

    /// Takes in that something was heard of a server.
    pub(crate) fn heard(&mut self, key: ServerKey, now: Time) {
        self.servers[key.0 as usize].heard_at = now;
    }

    /// Has a server used last until `until`.
    pub(crate) fn suspect(&mut self, key: ServerKey, until: Time) {
        self.servers[key.0 as usize].suspect_until = until;
    }

    /// Returns all marks of leaving servers.
    pub(crate) fn leaving_marks(&self) -> Vec<ServerInstance> {
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

    /// Tells whether an engine may be given a request of a workspace now.
    pub(crate) fn may_serve(&self, key: ServerKey, workspace: NameKey) -> bool {
        let server = self.server(key);
        let ServerKind::Engine { workspaces, .. } = &server.kind else {
            return false;
        };
        let allowed = workspaces.is_empty() || workspaces.contains(&workspace);
        allowed && server.takes_work(self.any_listed)
    }

    /// Returns the replicas of a service that may be called now.
    pub(crate) fn replicas(&self, service: &str) -> Vec<ServerKey> {
        let Some(keys) = self.by_service.get(service) else {
            return Vec::new();
        };
        keys.iter()
            .copied()
            .filter(|key| !self.server(*key).is_leaving())
            .collect()
    }

    /// Returns a server.
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

/// Returns the slowest prefill of a server's models, in microseconds for a token.
fn slowest_prefill(declared: &config::BackendServer, cfg: &Config) -> f64 {
    declared
        .models
        .iter()
        .filter_map(|name| cfg.models.get(name))
        .map(|model| model.prefill_ms_per_1000_tokens)
        .fold(0.0, f64::max)
}
