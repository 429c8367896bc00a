//! What a generation hands to the caller's side.

use std::sync::Arc;

use policy::Refusal;

use crate::SignedOrigin;

/// What a generation hands to the caller's side.
#[derive(Clone, Debug)]
pub enum GenerationItem {
    /// An engine began.
    Started {
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Prompt tokens found in its cache.
        cached_tokens: u64,
    },
    /// The next token.
    Token(Token),
    /// The generation was given up; nothing follows.
    Refused(Refusal),
}

/// One token on its way to the caller.
#[derive(Clone, Debug)]
pub struct Token {
    /// Position in the whole answer, from 0.
    pub position: u32,
    /// Text.
    pub text: String,
    /// Whether it is the last one.
    pub last: bool,
    /// Stream from which it came.
    pub origin: Arc<SignedOrigin>,
}
