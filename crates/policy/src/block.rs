//! Blocks of prompts, the unit in which engines cache.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of tokens in a block.
pub const BLOCK_TOKENS: u64 = 2_000;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

const BLOCK_BYTES: usize = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Hash of a block's text and of all prompt text before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

/// Identifies a block in a cache. Depends on the workspace, the model and the
/// version of its weights, so that caches are not shared between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockKey(pub u64);

/// Hash seed shared by all block keys of a workspace, model and weights version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockSeed(u64);

/// Returns the prefix hash of each whole block of `prompt`. A trailing partial block has none.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<PrefixHash> {
    let mut previous = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            PrefixHash(previous)
        })
        .collect()
}

impl BlockSeed {
    /// Derives the seed from a workspace, a model and the version of its weights.
    pub fn new(workspace: &str, model: &str, weights_version: u64) -> BlockSeed {
        let workspace = xxh3_64_with_seed(workspace.as_bytes(), 0);
        let model = xxh3_64_with_seed(model.as_bytes(), workspace);
        BlockSeed(xxh3_64_with_seed(&weights_version.to_le_bytes(), model))
    }

    /// Returns the key of the block with this prefix hash.
    pub fn key(self, content: PrefixHash) -> BlockKey {
        BlockKey(xxh3_64_with_seed(&content.0.to_le_bytes(), self.0))
    }
}
