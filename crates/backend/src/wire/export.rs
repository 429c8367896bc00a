//! Export of blocks of the KV cache to another engine.

use serde::Deserialize;
use serde::Serialize;

/// Request of [`path::EXPORT`](super::path::EXPORT).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportMessage {
    /// Expected incarnation of the engine.
    pub incarnation: u64,
    /// Model that computed the blocks.
    pub model: String,
    /// Version of the weights with which the blocks must have been computed.
    pub weights_version: u64,
    /// Keys of the requested blocks.
    pub keys: Vec<u64>,
}

/// Response of [`path::EXPORT`](super::path::EXPORT).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Keys of the requested blocks that the engine has cached.
    pub keys: Vec<u64>,
}
