//! The declaration of a model.

use serde::Deserialize;
use serde::Serialize;

/// A model that engines load and serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version of the weights; KV cache entries of other versions can't be used.
    pub weights_version: u64,
    /// Estimated prefill time of 1,000 prompt tokens on an engine, in milliseconds.
    #[serde(default = "default_prefill")]
    pub prefill_ms_per_1000_tokens: f64,
    /// Size of one token in the KV cache, in bytes.
    #[serde(default = "default_kv_bytes")]
    pub kv_bytes_per_token: u64,
}

fn default_prefill() -> f64 {
    40.0
}

fn default_kv_bytes() -> u64 {
    2_000
}
