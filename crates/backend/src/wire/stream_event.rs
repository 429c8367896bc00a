//! Events of the stream of a generation.

use serde::Deserialize;
use serde::Serialize;

use crate::Chunk;
use crate::Started;

/// Event in the response of [`path::GENERATE`](super::path::GENERATE)
/// and [`path::RESUME`](super::path::RESUME).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamEvent {
    /// First event: the generation has started.
    Started(StartedRecord),
    /// A generated token.
    Token(TokenRecord),
}

/// Wire form of [`Started`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRecord {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u64,
}

/// Wire form of [`Chunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// Position in the complete output, from 0, counting tokens of earlier attempts.
    pub position: u32,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last token.
    #[serde(default, skip_serializing_if = "is_false")]
    pub last: bool,
}

impl From<Started> for StartedRecord {
    fn from(started: Started) -> StartedRecord {
        StartedRecord {
            incarnation: started.incarnation,
            prompt_tokens: started.prompt_tokens,
            cached_tokens: started.cached_tokens,
        }
    }
}

impl From<StartedRecord> for Started {
    fn from(record: StartedRecord) -> Started {
        Started {
            incarnation: record.incarnation,
            prompt_tokens: record.prompt_tokens,
            cached_tokens: record.cached_tokens,
        }
    }
}

impl From<Chunk> for TokenRecord {
    fn from(chunk: Chunk) -> TokenRecord {
        TokenRecord {
            position: chunk.position,
            text: chunk.text,
            last: chunk.last,
        }
    }
}

impl From<TokenRecord> for Chunk {
    fn from(record: TokenRecord) -> Chunk {
        Chunk {
            position: record.position,
            text: record.text,
            last: record.last,
        }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}
