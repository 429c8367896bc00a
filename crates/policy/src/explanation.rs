//! Where a request would go, and why.

use serde::Deserialize;
use serde::Serialize;

/// Where a request would go, and why, as one router sees it at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// VM of the router.
    pub router: String,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Workspace.
    pub workspace: String,
    /// Rank of the priority class.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Cells that were compared, the first by affinity first.
    pub cells: Vec<CellScore>,
    /// Ways to serve it at the engines of the chosen cell, the cheapest first.
    pub engines: Vec<EngineScore>,
    /// What would become of it.
    pub verdict: Verdict,
}

/// Cost of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellScore {
    /// Region.
    pub region: String,
    /// VM of its owner.
    pub owner: String,
    /// Backend servers in it.
    pub engines: usize,
    /// Cost, in milliseconds.
    pub cost_ms: f64,
}

/// Cost of a way to serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineScore {
    /// Backend server.
    pub server: String,
    /// Backend server from which missing pieces are fetched.
    pub fetch_from: Option<String>,
    /// Prompt tokens that are expected in its cache, or fetched into it.
    pub cached_tokens: u64,
    /// Wait for the queue and for fetched pieces, in milliseconds.
    pub wait_ms: f64,
    /// Time to compute the rest of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Price of recomputed or copied tokens, in milliseconds.
    pub price_ms: f64,
    /// What affinity and trust in the engine add, in milliseconds.
    pub preference_ms: f64,
    /// Sum, in milliseconds.
    pub cost_ms: f64,
}

/// What would become of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// It would be sent.
    Sent {
        /// Backend server.
        server: String,
    },
    /// The owner of the cell would be asked; without its answer it would be sent here.
    OwnerAsked {
        /// VM of the owner.
        owner: String,
        /// Backend server.
        server: String,
    },
    /// It would run alone, for an engine that ran it broke.
    Quarantined,
    /// It would be refused.
    Refused {
        /// Reason.
        reason: String,
        /// Milliseconds after which it may come back.
        retry_after_ms: Option<u64>,
    },
}
