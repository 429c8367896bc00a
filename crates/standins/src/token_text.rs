//! Text that the engine stand-in generates.
//!
//! It depends only on the prompt and the position, so a stream that one engine began and another
//! one finished can be compared with the complete text.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hash of a prompt, from which its completion is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Hashes a prompt.
    pub fn new(prompt: &str) -> PromptHash {
        PromptHash(fnv(FNV_OFFSET, prompt.as_bytes()))
    }

    /// Returns the text of the token at `position` of the prompt's completion.
    pub fn token(self, position: u32) -> String {
        let hash = fnv(self.0, &position.to_le_bytes());
        format!(" {:05x}", hash >> 44)
    }

    /// Returns the first `tokens` tokens of the prompt's completion.
    pub fn text(self, tokens: u32) -> String {
        (0..tokens).map(|position| self.token(position)).collect()
    }
}

/// Continues an FNV-1a hash from the state `start`.
fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
