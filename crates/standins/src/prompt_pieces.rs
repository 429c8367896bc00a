//! Pieces and tokens of prompts.

use backend::GenerateRequest;
use policy::prefix_hashes;
use policy::BlockSeed;
use policy::BLOCK_TOKENS;
use policy::BYTES_PER_TOKEN;

/// Returns the keys of a prompt's whole pieces.
pub(crate) fn piece_keys(req: &GenerateRequest) -> Vec<u64> {
    let seed = BlockSeed::new(&req.workspace, &req.model, req.weights_version);
    prefix_hashes(req.prompt.as_bytes())
        .into_iter()
        .map(|content| seed.key(content).0)
        .collect()
}

/// Returns the tokens of a prompt.
pub(crate) fn tokens_of(prompt: &str) -> u64 {
    let bytes = u64::try_from(prompt.len()).unwrap_or(u64::MAX);
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Returns the tokens in whole pieces.
pub(crate) fn tokens_in(pieces: usize) -> u64 {
    u64::try_from(pieces).unwrap_or(u64::MAX) * BLOCK_TOKENS
}
