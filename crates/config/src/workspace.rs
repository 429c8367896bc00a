//! The declaration of a workspace (a tenant).

use serde::Deserialize;
use serde::Serialize;

/// A workspace: a tenant with its own token, quota and KV cache entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of the workspace's bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Share of the capacity under overload, relative to the shares of other workspaces.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Limits on what the workspace may have in flight.
    #[serde(default)]
    pub quota: Quota,
    /// Cost weights for choosing a backend server.
    #[serde(default)]
    pub weights: CostWeights,
}

/// Limits on what a workspace may have in flight; each router applies them by itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Maximum number of requests in flight.
    pub requests_in_flight: u32,
    /// Maximum number of prompt tokens in flight.
    pub prompt_tokens_in_flight: u64,
}

/// Cost weights for choosing a backend server, each in milliseconds of waiting time.
///
/// They have nothing to do with the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// Waiting time that counts as much as recomputing 1,000 cached tokens.
    pub recompute_ms_per_1000_tokens: f64,
    /// Waiting time that counts as much as transferring 1 MB between regions.
    pub cross_region_ms_per_mb: f64,
}

fn default_share() -> u32 {
    1
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            requests_in_flight: 1_000,
            prompt_tokens_in_flight: 40_000_000,
        }
    }
}

impl Default for CostWeights {
    fn default() -> Self {
        CostWeights {
            recompute_ms_per_1000_tokens: 10.0,
            cross_region_ms_per_mb: 1.0,
        }
    }
}
