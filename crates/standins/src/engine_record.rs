//! Records of what the engine stand-in did.

use std::net::SocketAddr;

/// Record in the engine stand-in's ledger, which survives crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineRecord {
    /// The prefill of a generation began.
    Ran {
        /// Incarnation that executed it.
        incarnation: u64,
        /// Name of the stream.
        stream: String,
        /// Workspace of the request.
        workspace: String,
        /// Name of the model.
        model: String,
        /// Version of the weights that were loaded.
        weights_version: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
        /// Number of prompt tokens found in the cache.
        cached_tokens: u64,
        /// Position of the first token that it generates.
        first_position: u32,
    },
    /// A generation produced its last token.
    Finished {
        /// Name of the stream.
        stream: String,
    },
    /// A generation was cancelled.
    Cancelled {
        /// Name of the stream.
        stream: String,
    },
    /// A generation was refused before any of it was executed.
    Refused {
        /// Name of the stream.
        stream: String,
        /// Reason of the refusal, as sent to the router.
        reason: &'static str,
    },
    /// Blocks were imported from another engine.
    Imported {
        /// Name of the stream for which they were imported.
        stream: String,
        /// Address of the engine that exported them.
        holder: SocketAddr,
        /// Number of blocks.
        blocks: usize,
    },
    /// An import failed, so the blocks were computed.
    ImportFailed {
        /// Name of the stream for which they were requested.
        stream: String,
        /// Error of the export call.
        reason: String,
    },
    /// An order to load weights was accepted.
    Ordered {
        /// Fencing token of the order.
        fencing: u64,
        /// Name of the model.
        model: String,
        /// Version of the weights to load.
        weights_version: u64,
    },
    /// A prompt crashed the engine.
    Crashed {
        /// Incarnation that the crash ended.
        incarnation: u64,
        /// Name of the stream of that prompt.
        stream: String,
    },
}
