//! Load of an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::HeldWeights;
use crate::Load;

/// Response of [`path::LOAD`](super::path::LOAD).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Number of running generations.
    pub running: u32,
    /// Whether the engine is about to shut down and refuses new generations.
    pub leaving: bool,
    /// Loaded weights; `None` if the engine doesn't report them.
    #[serde(default)]
    pub weights: Option<Vec<HeldWeights>>,
}

impl From<Load> for LoadResponse {
    fn from(load: Load) -> LoadResponse {
        LoadResponse {
            incarnation: load.incarnation,
            queued_tokens: load.queued_tokens,
            running: load.running,
            leaving: load.leaving,
            weights: load.weights,
        }
    }
}

impl From<LoadResponse> for Load {
    fn from(response: LoadResponse) -> Load {
        Load {
            incarnation: response.incarnation,
            queued_tokens: response.queued_tokens,
            running: response.running,
            leaving: response.leaving,
            weights: response.weights,
        }
    }
}
