//! The configuration that the operators have put in force.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CachePartition;
use crate::InvalidQuota;
use crate::PrefixStore;
use crate::Quota;

/// Whether requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: a request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    Once,
    /// A stream of events. If `resumable`, it may be resumed on another backend server.
    Stream {
        /// Whether a stream may be resumed on another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have been executed may be retried.
    pub fn may_retry(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Returns whether responses are streams of events.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// Maps requests of a host and path prefix to services and sets their limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Services that share the requests; at least one.
    pub shares: Vec<Share>,
    /// Maximum number of backend servers that may execute a request; at least one.
    pub max_attempts: u32,
    /// Maximum time from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the response or, for a stream, its first event, in milliseconds.
    pub objective_ms: u64,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
}

/// A workspace and the API keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 is the highest; overrides the route's.
    pub priority: Option<u32>,
    /// Whether its cached prompt parts are kept apart from those of other workspaces.
    pub isolated: bool,
    /// What its requests may use over all routers together; none for no limit.
    #[serde(default)]
    pub quota: Option<Quota>,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that a backend server accepts from all routers together.
    pub max_connections: Option<u32>,
    /// Tokens that fit into a model engine's cache; none for a plain service.
    pub memory_tokens: Option<u64>,
    /// Bytes that a token takes in that cache; 0 for a plain service.
    pub token_bytes: u64,
    /// Address and link of the prefix store, if this service is one.
    pub prefix_store: Option<PrefixStore>,
    /// Path at which a backend server responds to health checks, if the operators name one.
    #[serde(default)]
    pub health_path: Option<Arc<str>>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<Arc<Route>>,
    /// Workspaces; if there are none, no request needs an API key.
    pub workspaces: Vec<Arc<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Fields of quotas that can't be used; their workspaces keep their former quotas.
    #[serde(default)]
    pub invalid_quotas: Vec<InvalidQuota>,
    #[serde(skip)]
    index: Index,
}

/// Lookup tables built from `routes` and `workspaces`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Index {
    /// Routes by host, longest path prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces by API key.
    by_key: HashMap<String, Arc<Workspace>>,
    /// Hash of the names of the isolated workspaces; 0 if there are none.
    isolated: u64,
}

impl Configuration {
    /// Creates a configuration and builds its lookup tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        workspaces: Vec<Workspace>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Configuration {
        let mut configuration = Configuration {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            limits,
            invalid_quotas: Vec::new(),
            index: Index::default(),
        };
        configuration.build_index();
        configuration
    }

    /// Rebuilds the lookup tables. Must be called after deserializing, which skips them.
    pub fn build_index(&mut self) {
        let mut index = Index::default();
        for route in &self.routes {
            let host_routes = index.by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::clone(route));
        }
        for routes in index.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for workspace in &self.workspaces {
            if workspace.isolated {
                index.isolated ^= policy::name_hash(&workspace.name);
            }
            for key in &workspace.keys {
                index.by_key.insert(key.clone(), Arc::clone(workspace));
            }
        }
        self.index = index;
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.index.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether the backend servers of a service are model engines.
    pub fn runs_models(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.memory_tokens.is_some())
    }

    /// Returns the prefix stores among the services.
    pub fn prefix_stores(&self) -> impl Iterator<Item = &PrefixStore> {
        let services = self.services.values();
        services.filter_map(|service| service.prefix_store.as_ref())
    }

    /// Returns the workspace with the API key `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.index.by_key.get(key)
    }

    /// Returns the cache partition of a workspace's requests, or of those without a workspace.
    /// `accepted` is the workspace as the configuration had it by which its request was accepted.
    pub fn cache_partition(&self, accepted: Option<&Workspace>) -> CachePartition {
        let shared = CachePartition::Shared {
            isolated: self.index.isolated,
        };
        let Some(accepted) = accepted else {
            return shared;
        };
        let mut workspaces = self.workspaces.iter();
        let present = workspaces.find(|workspace| workspace.name == accepted.name);
        if !present.map_or(accepted, |present| present).isolated {
            return shared;
        }
        CachePartition::Isolated {
            workspace: policy::name_hash(&accepted.name),
        }
    }

    /// Returns whether some workspace has a quota.
    pub fn has_quotas(&self) -> bool {
        self.workspaces.iter().any(|w| w.quota.is_some())
    }

    /// Returns whether requests of `route` need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.anonymous && !self.workspaces.is_empty()
    }
}
