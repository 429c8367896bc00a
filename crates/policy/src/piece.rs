//! Pieces of prompts, the unit in which engines cache.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one piece.
pub const BLOCK_TOKENS: u64 = 2_000;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

const PIECE_BYTES: usize = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Hash of a piece's text and of all text before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

/// Name of a piece in a cache, bound to workspace, model and weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockKey(pub u64);

/// What piece keys of one workspace, model and weights version have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockSeed(u64);

/// Returns the hash of each whole piece of `prompt`, each covering all before it.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<PrefixHash> {
    let mut previous = 0;
    prompt
        .chunks_exact(PIECE_BYTES)
        .map(|piece| {
            previous = xxh3_64_with_seed(piece, previous);
            PrefixHash(previous)
        })
        .collect()
}

impl BlockSeed {
    /// Derives the seed of a workspace, a model and a version of its weights.
    pub fn new(workspace: &str, model: &str, weights_version: u64) -> BlockSeed {
        let workspace = xxh3_64_with_seed(workspace.as_bytes(), 0);
        let model = xxh3_64_with_seed(model.as_bytes(), workspace);
        BlockSeed(xxh3_64_with_seed(&weights_version.to_le_bytes(), model))
    }

    /// Returns the key of a piece with this content.
    pub fn key(self, content: PrefixHash) -> BlockKey {
        BlockKey(xxh3_64_with_seed(&content.0.to_le_bytes(), self.0))
    }
}
