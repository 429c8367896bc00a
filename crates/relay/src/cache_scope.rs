//! Names of the scopes within which engines share cached parts of prompts.

use crate::Workspace;

/// Returns the scope of a request's cached parts: one for each version of the
/// weights, and for each workspace that is isolated.
pub fn cache_scope(weights: u64, workspace: Option<&Workspace>) -> String {
    match workspace {
        Some(workspace) if workspace.isolated => format!("{weights}.{}", workspace.name),
        _ => weights.to_string(),
    }
}
