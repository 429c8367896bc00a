//! The [`Engine`] trait, implemented by clients of model engines, and its data types.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;

use crate::Result;

/// Request to generate tokens for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Stream name, chosen by the router to resume or cancel the stream later.
    pub stream: String,
    /// Workspace; engines don't share cache entries between workspaces.
    pub workspace: String,
    /// Model that generates.
    pub model: String,
    /// Required version of the weights; an engine with another one refuses. 0 for any.
    pub weights_version: u64,
    /// Incarnation that the router expects; an engine with another one refuses. 0 for any.
    pub incarnation: u64,
    /// Prompt text, with chat messages already rendered into it.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Rank of the priority class; the highest rank goes first.
    pub priority: u8,
    /// Texts of the tokens already delivered by another engine; generation continues after them.
    pub delivered: Vec<String>,
    /// Server from which the engine may fetch KV-cache blocks that it lacks.
    pub fetch_from: Option<FetchFrom>,
}

/// A server whose cache holds KV-cache blocks that another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFrom {
    /// Address of the server that holds the blocks.
    pub address: SocketAddr,
    /// Incarnation of that server; it refuses to export if its own differs.
    pub incarnation: u64,
}

/// First event of a generation, sent when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u64,
}

/// One generated token, as streamed by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the complete output, from 0, counting tokens of earlier attempts.
    pub position: u32,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last token.
    pub last: bool,
}

/// A running generation. Dropping it closes the connection; the engine then cancels
/// the generation unless it is resumed within the engine's grace period.
pub struct Generation {
    /// First event of the stream.
    pub started: Started,
    /// Tokens in order; ends after the last one, or with an error.
    pub chunks: BoxStream<'static, Result<Chunk>>,
}

/// Model weights that an engine has loaded and serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldWeights {
    /// Model that they belong to.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// Load and state of an engine as of its response to a poll; they may have changed since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Number of running generations.
    pub running: u32,
    /// Whether the engine is about to shut down and refuses new generations.
    pub leaving: bool,
    /// Loaded weights; `None` if the engine doesn't report them.
    pub weights: Option<Vec<HeldWeights>>,
}

/// A change of an engine's KV cache; the number is the block's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A block was added.
    Stored(u64),
    /// A block was removed.
    Evicted(u64),
}

/// Consecutive cache events of one incarnation.
///
/// If the incarnation is the requested one, a `first_sequence` above the requested one means that
/// events in between were lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// An order to an engine to serve a version of a model's weights; idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing token of the loading slot under which it is given.
    pub fencing: u64,
    /// Model that the engine must serve.
    pub model: String,
    /// Version of the weights that it must load.
    pub weights_version: u64,
}

/// Response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// Accepted: the engine is loading the weights or already has them.
    Taken,
    /// Refused because the engine has seen this higher fencing token.
    StaleFencing(u64),
}

/// Client of model engines; `peer` is the address of the engine to call.
pub trait Engine: Send + Sync {
    /// Starts a generation and waits for its first event.
    fn generate(&self, peer: SocketAddr, req: GenerateRequest)
        -> BoxFuture<'_, Result<Generation>>;

    /// Resumes a stream that the engine has kept, from the token at `position` on.
    fn resume(
        &self,
        peer: SocketAddr,
        stream: &str,
        incarnation: u64,
        position: u32,
    ) -> BoxFuture<'_, Result<Generation>>;

    /// Cancels a stream by its name.
    fn cancel(&self, peer: SocketAddr, stream: &str) -> BoxFuture<'_, Result<()>>;

    /// Polls the engine's current load.
    fn load(&self, peer: SocketAddr) -> BoxFuture<'_, Result<Load>>;

    /// Waits for cache events from `sequence` on, up to `wait_ms` milliseconds.
    fn cache_events(
        &self,
        peer: SocketAddr,
        incarnation: u64,
        sequence: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<CacheEvents>>;

    /// Sends an order to serve a version of a model's weights.
    fn order(&self, peer: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderResponse>>;
}
