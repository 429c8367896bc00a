//! Explanation of a routing decision.

use serde::Deserialize;
use serde::Serialize;

/// Where a request would go and why, as seen by one router at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the router's VM.
    pub router: String,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Rank of the priority class.
    pub rank: u8,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Cells that were compared, in the order of affinity.
    pub cells: Vec<CellScore>,
    /// Candidates in the chosen cell, cheapest first.
    pub engines: Vec<EngineScore>,
    /// Decision for the request.
    pub verdict: Verdict,
}

/// Cost of sending the request to a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellScore {
    /// Region of the cell.
    pub region: String,
    /// Name of the VM of the cell's owner.
    pub owner: String,
    /// Number of backend servers in the cell.
    pub engines: usize,
    /// Cost, in milliseconds.
    pub cost_ms: f64,
}

/// Cost of a candidate: an engine, and a server to fetch blocks from if there is one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineScore {
    /// Name of the backend server.
    pub server: String,
    /// Name of the backend server from which missing blocks are fetched.
    pub fetch_from: Option<String>,
    /// Prompt tokens expected to be in the engine's cache or fetched into it.
    pub cached_tokens: u64,
    /// Wait for the queue and for fetched blocks, in milliseconds.
    pub wait_ms: f64,
    /// Time to compute the rest of the prompt, with the overhead of a request, in milliseconds.
    pub prefill_ms: f64,
    /// Price of recomputed or copied tokens, in milliseconds.
    pub price_ms: f64,
    /// Cost added for the rank by affinity and for a suspect engine, in milliseconds.
    pub preference_ms: f64,
    /// Sum of wait, prefill, price and preference, in milliseconds.
    pub cost_ms: f64,
}

/// Decision for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// It would be sent to an engine.
    Sent {
        /// Name of the backend server.
        server: String,
    },
    /// The owner of the cell would be queried. If it does not respond in time,
    /// the request would be sent to the engine that the owner chose last for
    /// prompts with the same first block, or to `server` if that engine is
    /// unknown, suspect, busy or not eligible.
    OwnerAsked {
        /// Name of the owner's VM.
        owner: String,
        /// Name of the backend server.
        server: String,
    },
    /// It would run in quarantine, because an engine failed while running it.
    #[serde(rename = "on_trial")]
    Quarantined,
    /// It would be refused.
    Refused {
        /// Name of the [`crate::Reason`].
        reason: String,
        /// Milliseconds after which it may be retried; none if no time is known.
        retry_after_ms: Option<u64>,
    },
}
