//! The configuration in force and the log of its changes.

use std::collections::HashMap;
use std::sync::Arc;

use config::Config;
use config::Workspace;

use crate::config_delta::DeltaLog;
use crate::ConfigDelta;

/// The configuration in force. Its version never decreases.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    version: u64,
    cfg: Option<Arc<Config>>,
    by_token: HashMap<String, String>,
    top_rank: u8,
    log: DeltaLog,
}

impl ActiveConfig {
    /// Puts `cfg` in force if its version is newer than the current one; returns whether it did.
    pub(crate) fn offer(&mut self, version: u64, cfg: &Arc<Config>) -> bool {
        if version <= self.version {
            return false;
        }
        if let Some(old) = &self.cfg {
            let delta = ConfigDelta::between((self.version, old), (version, cfg));
            self.log.push(Arc::new(delta));
        }
        assert!(
            self.version < version,
            "the version in force never decreases"
        );
        self.version = version;
        self.by_token = cfg
            .workspaces
            .iter()
            .map(|(name, workspace)| (workspace.token_sha256.clone(), name.clone()))
            .collect();
        let ranks = cfg.priorities.values().map(|class| class.rank);
        self.top_rank = ranks.max().unwrap_or(0);
        self.cfg = Some(cfg.clone());
        true
    }

    /// Drops the configuration in force, for [`crate::mutation::Mutation::AcceptOldConfig`].
    pub(crate) fn revert(&mut self) {
        self.version = 0;
        self.cfg = None;
    }

    /// Returns the result of applying `delta`, none if it is not based on the version in force.
    pub(crate) fn apply(&self, delta: &ConfigDelta) -> Option<Arc<Config>> {
        let cfg = self.cfg.as_ref().filter(|_| delta.base == self.version)?;
        Some(Arc::new(delta.apply(cfg)))
    }

    /// Returns the deltas from `version` to the version in force, none if the
    /// log does not reach back that far.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<Arc<ConfigDelta>>> {
        self.log.since(version)
    }

    /// Returns the version in force, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<&Arc<Config>> {
        self.cfg.as_ref()
    }

    /// Returns the highest rank of all priority classes.
    pub(crate) fn top_rank(&self) -> u8 {
        self.top_rank
    }

    /// Returns the name and settings of the workspace with this token hash.
    pub(crate) fn workspace(&self, token_sha256: &str) -> Option<(&str, &Workspace)> {
        let name = self.by_token.get(token_sha256)?;
        let workspace = self.cfg.as_ref()?.workspaces.get(name)?;
        Some((name, workspace))
    }
}
