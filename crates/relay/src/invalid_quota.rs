//! Quotas in the operators' configuration that can't be used.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Configuration;
use crate::Quota;
use crate::Workspace;

/// A field of a workspace's quota that can't be used. The workspace keeps its former quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidQuota {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the field, as operators write it.
    pub field: String,
    /// Why it can't be used.
    pub reason: String,
}

impl Configuration {
    /// Gives the workspaces whose quotas are invalid those that they have in `other`: the
    /// configuration in force before, or this one as another router has it. Returns whether that
    /// changes something.
    pub fn keep_quotas_of(&mut self, other: &Configuration) -> bool {
        let mut has_changed = false;
        for workspace in &mut self.workspaces {
            let lacks_quota = lacks_quota(&self.invalid_quotas, workspace);
            if let Some(quota) = other.quota_of(&workspace.name).filter(|_| lacks_quota) {
                Arc::make_mut(workspace).quota = Some(quota);
                has_changed = true;
            }
        }
        if has_changed {
            self.build_index();
        }
        has_changed
    }

    /// Returns whether a workspace has no quota only as its quota is invalid and its former one
    /// isn't known.
    pub fn lacks_former_quotas(&self) -> bool {
        let mut workspaces = self.workspaces.iter();
        workspaces.any(|workspace| lacks_quota(&self.invalid_quotas, workspace))
    }

    fn quota_of(&self, name: &str) -> Option<Quota> {
        let mut workspaces = self.workspaces.iter();
        workspaces.find(|w| &*w.name == name)?.quota
    }
}

fn lacks_quota(invalid: &[InvalidQuota], workspace: &Workspace) -> bool {
    workspace.quota.is_none() && invalid.iter().any(|i| i.workspace == workspace.name)
}
