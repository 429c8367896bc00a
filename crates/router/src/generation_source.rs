//! What a generation is made from.

use policy::Dispatch;

use crate::CompletionRequest;
use crate::Origin;

/// What a generation is made from, and what of it the caller has.
#[derive(Clone, Debug)]
pub enum GenerationSource {
    /// A prompt.
    Prompt {
        /// Request.
        req: CompletionRequest,
        /// Texts of the tokens that the caller has.
        delivered: Vec<String>,
    },
    /// A stream that an engine holds.
    Stream {
        /// Stream.
        origin: Origin,
        /// Number of tokens that the caller has.
        delivered: u32,
    },
}

impl GenerationSource {
    /// Returns the word for it in counters.
    pub fn kind(&self) -> &'static str {
        match self {
            GenerationSource::Prompt { .. } => "generate",
            GenerationSource::Stream { .. } => "resume",
        }
    }

    /// Returns the number of tokens that the caller has.
    pub fn delivered(&self) -> u32 {
        match self {
            GenerationSource::Prompt { delivered, .. } => {
                u32::try_from(delivered.len()).unwrap_or(u32::MAX)
            }
            GenerationSource::Stream { delivered, .. } => *delivered,
        }
    }

    /// Notes that the caller has another token.
    pub fn deliver(&mut self, text: &str) {
        match self {
            GenerationSource::Prompt { delivered, .. } => delivered.push(text.to_owned()),
            GenerationSource::Stream { delivered, .. } => *delivered += 1,
        }
    }

    /// Returns the origin of the tokens of an attempt.
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
