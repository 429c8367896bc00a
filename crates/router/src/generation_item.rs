//! Items that a generation's task sends to the caller's response.

use std::sync::Arc;

use policy::Refusal;

use crate::SignedOrigin;

/// An item that a generation's task sends to the caller's response.
#[derive(Clone, Debug)]
pub enum GenerationItem {
    /// An engine has accepted an attempt.
    Started {
        /// Number of prompt tokens.
        prompt_tokens: u64,
        /// Number of prompt tokens found in the engine's cache.
        cached_tokens: u64,
    },
    /// The next token.
    Token(Token),
    /// The call was refused; no item follows.
    Refused(Refusal),
    /// There is no memory for more tokens; no item follows.
    NoMemory,
}

/// One generated token for the caller.
#[derive(Clone, Debug)]
pub struct Token {
    /// Position in the whole response, from 0.
    pub position: u32,
    /// Text of the token.
    pub text: String,
    /// Whether it is the last token of the response.
    pub last: bool,
    /// Engine stream that it came from, for its event id.
    pub origin: Arc<SignedOrigin>,
}
