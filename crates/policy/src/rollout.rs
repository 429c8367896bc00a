//! The configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use config::Config;
use config::Workspace;

/// The configuration in force; its version only grows.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    version: u64,
    cfg: Option<Arc<Config>>,
    by_token: HashMap<String, String>,
    top_rank: u8,
}

impl Rollout {
    /// Takes a configuration in; tells whether it is in force from now on.
    pub(crate) fn offer(&mut self, version: u64, cfg: &Arc<Config>) -> bool {
        if version <= self.version {
            return false;
        }
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

    /// Forgets the version in force, for [`crate::mutation::Mutation::AcceptOldConfig`].
    pub(crate) fn revert(&mut self) {
        self.version = 0;
    }

    /// Returns the version in force, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<&Arc<Config>> {
        self.cfg.as_ref()
    }

    /// Returns the highest rank of a priority class.
    pub(crate) fn top_rank(&self) -> u8 {
        self.top_rank
    }

    /// Returns the workspace that a token belongs to.
    pub(crate) fn workspace(&self, token_sha256: &str) -> Option<(&str, &Workspace)> {
        let name = self.by_token.get(token_sha256)?;
        let workspace = self.cfg.as_ref()?.workspaces.get(name)?;
        Some((name, workspace))
    }
}
