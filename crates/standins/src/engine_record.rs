//! What the engine stand-in really did.

use std::net::SocketAddr;

/// Entry of the engine stand-in's ledger, which outlives its crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineRecord {
    /// A generation was computed.
    Ran {
        /// Incarnation.
        incarnation: u64,
        /// Stream.
        stream: String,
        /// Workspace.
        workspace: String,
        /// Model.
        model: String,
        /// Weights that it held.
        weights_version: u64,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
        /// Position of its first token.
        first_position: u32,
    },
    /// A generation produced its last token.
    Finished {
        /// Stream.
        stream: String,
    },
    /// A generation was given up.
    Cancelled {
        /// Stream.
        stream: String,
    },
    /// A call was refused before anything ran.
    Refused {
        /// Stream.
        stream: String,
        /// Reason.
        reason: &'static str,
    },
    /// Pieces were imported from another engine.
    Imported {
        /// Stream for which they were imported.
        stream: String,
        /// Address of the holder.
        holder: SocketAddr,
        /// Number of pieces.
        blocks: usize,
    },
    /// An import failed, and the pieces were computed.
    ImportFailed {
        /// Stream for which they were wanted.
        stream: String,
        /// What the holder, or the way to it, said.
        reason: String,
    },
    /// An order was taken.
    Ordered {
        /// Fencing number.
        fencing: u64,
        /// Model.
        model: String,
        /// Weights.
        weights_version: u64,
    },
    /// A prompt crashed the engine.
    Crashed {
        /// Incarnation that ended.
        incarnation: u64,
        /// Stream of the prompt.
        stream: String,
    },
}
