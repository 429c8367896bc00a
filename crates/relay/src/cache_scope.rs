//! Cache scopes: engines reuse cached prompt parts only within one scope.

use crate::Workspace;

/// Returns the cache scope of a request. Each version of the weights has its own
/// scope, and within it each isolated workspace.
pub fn cache_scope(weights: u64, workspace: Option<&Workspace>) -> String {
    match workspace {
        Some(workspace) if workspace.isolated => format!("{weights}.{}", workspace.name),
        _ => weights.to_string(),
    }
}
