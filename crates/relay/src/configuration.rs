//! The configuration that the operators have put in force.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::PrefixStore;

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Idempotent,
    /// A request may run once at most.
    Once,
    /// A stream of events; it may be resumed at another backend server if `resumable`.
    Stream {
        /// Whether a stream may go on at another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Tells whether answers are streams of events.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight against the route's other shares.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: String,
    /// Beginning of their paths, from slash to slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services, at least one.
    pub shares: Vec<Share>,
    /// Backend servers that a request may run on, at least one.
    pub max_attempts: u32,
    /// Time within which the caller is to have an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, or to its first event, that callers expect, in milliseconds.
    pub objective_ms: u64,
    /// Rank among routes, 0 first.
    pub priority: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// A workspace and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, 0 first; goes before the route's.
    pub priority: Option<u32>,
    /// Whether it shares no cached part with other workspaces.
    pub isolated: bool,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that a backend server accepts from all routers.
    pub max_connections: Option<u32>,
    /// Tokens that a model engine's memory holds, none for a plain service.
    pub memory_tokens: Option<u64>,
    /// Bytes that a token takes there, 0 for a plain service.
    pub token_bytes: u64,
    /// Where prompt parts are kept beyond the engines' memories, if this service does that.
    pub prefix_store: Option<PrefixStore>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a caller may take for a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; higher ones replace lower ones.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Workspaces; without any no request needs a key.
    pub workspaces: Vec<Arc<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    #[serde(skip)]
    index: Index,
}

/// Ways into the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Index {
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<Workspace>>,
}

impl Configuration {
    /// Creates a configuration from its tables.
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
            index: Index::default(),
        };
        configuration.build_index();
        configuration
    }

    /// Builds the index anew; needed after the tables were deserialized.
    pub fn build_index(&mut self) {
        let mut index = Index::default();
        for route in &self.routes {
            let of_host = index.by_host.entry(route.host.clone()).or_default();
            of_host.push(Arc::clone(route));
        }
        for routes in index.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for workspace in &self.workspaces {
            for key in &workspace.keys {
                index.by_key.insert(key.clone(), Arc::clone(workspace));
            }
        }
        self.index = index;
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.index.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the stores of prompt parts.
    pub fn prefix_stores(&self) -> impl Iterator<Item = &PrefixStore> {
        let services = self.services.values();
        services.filter_map(|service| service.prefix_store.as_ref())
    }

    /// Returns the workspace that holds `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.index.by_key.get(key)
    }

    /// Tells whether requests of `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.anonymous && !self.workspaces.is_empty()
    }
}
