//! Cache scopes: engines reuse cached prompt parts only within one scope.

use crate::Build;

/// Workspaces with which a request shares cached prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachePartition {
    /// All that aren't isolated. What a workspace has cached before it was isolated isn't shared any
    /// more, so that each set of isolated workspaces has a partition of its own.
    Shared {
        /// Hash of the names of the isolated workspaces; 0 if there are none.
        isolated: u64,
    },
    /// None, as its own workspace is isolated.
    Isolated {
        /// Hash of the workspace's name.
        workspace: u64,
    },
}

impl Default for CachePartition {
    fn default() -> CachePartition {
        CachePartition::Shared { isolated: 0 }
    }
}

/// Returns the cache scope of a request. Each version of the weights has its own scope for each build
/// of the engines and each partition.
pub fn cache_scope(weights: u64, build: Build, partition: CachePartition) -> String {
    match partition {
        CachePartition::Shared { isolated: 0 } => format!("{weights}.{build}"),
        CachePartition::Shared { isolated } => format!("{weights}.{build}.without.{isolated:x}"),
        CachePartition::Isolated { workspace } => format!("{weights}.{build}.only.{workspace:x}"),
    }
}
