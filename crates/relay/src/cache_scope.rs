//! Cache scopes: engines reuse cached prompt parts only within one scope.

use crate::Build;
use crate::Workspace;

/// Returns the cache scope of a request. Each version of the weights has its own
/// scope for each build of the engines, and within it each isolated workspace.
pub fn cache_scope(weights: u64, build: Build, workspace: Option<&Workspace>) -> String {
    match workspace {
        Some(workspace) if workspace.isolated => format!("{weights}.{build}.{}", workspace.name),
        _ => format!("{weights}.{build}"),
    }
}
