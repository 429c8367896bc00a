//! Differences between two versions of the configuration.
//!
//! A whole configuration has up to a megabyte, and a change affects a few
//! entries of it. Routers exchange deltas; the whole configuration is sent only
//! to a router that is further behind than the log of its peer reaches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use config::BackendServer;
use config::Config;
use config::Limits;
use config::Model;
use config::Priority;
use config::Service;
use config::Workspace;

/// Maximum number of deltas kept for other routers.
const MAX_LOGGED_DELTAS: usize = 32;

/// Entries that were added or changed, by name; none for a removed entry.
type ChangedEntries<T> = BTreeMap<String, Option<T>>;

/// The difference between a version of the configuration and a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the delta applies to.
    pub base: u64,
    /// Version that results from applying the delta.
    pub version: u64,
    workspaces: ChangedEntries<Workspace>,
    models: ChangedEntries<Model>,
    priorities: ChangedEntries<Priority>,
    backend_servers: ChangedEntries<BackendServer>,
    services: ChangedEntries<Service>,
    limits: Option<Limits>,
}

impl ConfigDelta {
    /// Returns the delta from `old` to `new`.
    pub(crate) fn between((base, old): (u64, &Config), (version, new): (u64, &Config)) -> Self {
        ConfigDelta {
            base,
            version,
            workspaces: changed(&old.workspaces, &new.workspaces),
            models: changed(&old.models, &new.models),
            priorities: changed(&old.priorities, &new.priorities),
            backend_servers: changed(&old.backend_servers, &new.backend_servers),
            services: changed(&old.services, &new.services),
            limits: Some(new.limits).filter(|limits| *limits != old.limits),
        }
    }

    /// Returns the result of applying the delta to `old`.
    pub(crate) fn apply(&self, old: &Config) -> Config {
        let mut cfg = old.clone();
        apply_changes(&mut cfg.workspaces, &self.workspaces);
        apply_changes(&mut cfg.models, &self.models);
        apply_changes(&mut cfg.priorities, &self.priorities);
        apply_changes(&mut cfg.backend_servers, &self.backend_servers);
        apply_changes(&mut cfg.services, &self.services);
        cfg.limits = self.limits.unwrap_or(cfg.limits);
        cfg
    }
}

/// The latest deltas, each from one version in force to the next.
#[derive(Debug, Default)]
pub(crate) struct DeltaLog {
    deltas: VecDeque<Arc<ConfigDelta>>,
}

impl DeltaLog {
    /// Appends the delta to the version that is now in force.
    pub(crate) fn push(&mut self, delta: Arc<ConfigDelta>) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_LOGGED_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the deltas from `version` to the version in force, none if
    /// `version` is not in the log.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<Arc<ConfigDelta>>> {
        let start = self.deltas.iter().position(|d| d.base == version)?;
        Some(self.deltas.range(start..).cloned().collect())
    }
}

fn changed<T>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> ChangedEntries<T>
where
    T: Clone + PartialEq,
{
    let gone = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .map(|name| (name.clone(), None));
    let put = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(*value))
        .map(|(name, value)| (name.clone(), Some(value.clone())));
    gone.chain(put).collect()
}

fn apply_changes<T>(entries: &mut BTreeMap<String, T>, changed: &ChangedEntries<T>)
where
    T: Clone,
{
    for (name, value) in changed {
        match value {
            Some(value) => entries.insert(name.clone(), value.clone()),
            None => entries.remove(name),
        };
    }
}
