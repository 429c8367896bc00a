//! Workspaces: the tenants of the system.

use serde::Deserialize;
use serde::Serialize;

/// A tenant with its own token, quota and cache entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Share of the capacity under overload, relative to other workspaces.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Upper bounds on what the workspace may have in flight.
    #[serde(default)]
    pub quota: Quota,
    /// What the workspace weighs when a backend server is chosen.
    #[serde(default)]
    pub weights: CostWeights,
}

/// Upper bounds on what a workspace may have in flight, for each router.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Requests in flight.
    pub requests_in_flight: u32,
    /// Prompt tokens in flight.
    pub prompt_tokens_in_flight: u64,
}

/// Weights of the measures, as prices in milliseconds of waiting.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// Milliseconds of waiting that recomputing 1,000 held tokens is worth.
    pub recompute_ms_per_1000_tokens: f64,
    /// Milliseconds of waiting that moving 1 MB between regions is worth.
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
