//! Input of a generation.

use policy::Dispatch;

use crate::delivered_tokens::DeliveredTokens;
use crate::CompletionRequest;
use crate::Origin;

/// Input of a generation, and the generated tokens that the caller already has.
#[derive(Clone, Debug)]
pub enum GenerationSource {
    /// A prompt to generate from.
    Prompt {
        /// Request with the prompt.
        req: CompletionRequest,
        /// Tokens that the caller already has.
        delivered: DeliveredTokens,
    },
    /// A stream that an engine keeps, to be resumed.
    Stream {
        /// Engine and name of the stream.
        origin: Origin,
        /// Number of tokens that the caller already has.
        delivered: u32,
    },
}

impl GenerationSource {
    /// Returns the kind of call, for metric labels.
    pub fn kind(&self) -> &'static str {
        match self {
            GenerationSource::Prompt { .. } => "generate",
            GenerationSource::Stream { .. } => "resume",
        }
    }

    /// Returns the number of tokens that the caller already has.
    pub fn delivered(&self) -> u32 {
        match self {
            GenerationSource::Prompt { delivered, .. } => delivered.len(),
            GenerationSource::Stream { delivered, .. } => *delivered,
        }
    }

    /// Returns the memory that it takes to record one more token, in bytes.
    pub fn deliver_bytes(&self, text: &str) -> u64 {
        match self {
            GenerationSource::Prompt { .. } => DeliveredTokens::push_bytes(text),
            GenerationSource::Stream { .. } => 0,
        }
    }

    /// Records that the caller receives one more token.
    pub fn deliver(&mut self, text: &str) {
        match self {
            GenerationSource::Prompt { delivered, .. } => delivered.push(text),
            GenerationSource::Stream { delivered, .. } => *delivered += 1,
        }
    }

    /// Returns the origin of an attempt's tokens. `incarnation` and `stream` apply to a new
    /// stream; a resumed one keeps its origin.
    pub fn origin(&self, dispatch: &Dispatch, incarnation: u64, stream: &str) -> Origin {
        match self {
            GenerationSource::Prompt { .. } => Origin {
                server: dispatch.server_name.clone(),
                incarnation,
                stream: stream.to_owned(),
                workspace: dispatch.workspace.clone(),
            },
            GenerationSource::Stream { origin, .. } => origin.clone(),
        }
    }
}
