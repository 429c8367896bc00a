//! Model engines.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;

use crate::Result;

/// A generation that an engine is asked to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Name by which the stream can be resumed or cancelled.
    pub stream: String,
    /// Workspace, which separates cache entries.
    pub workspace: String,
    /// Model.
    pub model: String,
    /// Version of the weights that must serve it; the engine refuses another. 0 for any.
    pub weights_version: u64,
    /// Incarnation that the router relies on; the engine refuses another. 0 for any.
    pub incarnation: u64,
    /// Prompt text, chat messages rendered.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Rank of the priority class.
    pub priority: u8,
    /// Text of the tokens already delivered by another engine, which go before the first new one.
    pub delivered: Vec<String>,
    /// Server from which the engine may fetch the KV cache of missing pieces.
    pub fetch_from: Option<FetchFrom>,
}

/// A server that holds pieces another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFrom {
    /// Address of the holder.
    pub address: SocketAddr,
    /// Incarnation of the holder, which refuses to export under another.
    pub incarnation: u64,
}

/// What an engine says when a generation starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in its cache.
    pub cached_tokens: u64,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the whole answer, from 0.
    pub position: u32,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last token.
    pub last: bool,
}

/// A running generation; dropping it breaks the connection, and the engine cancels
/// the generation unless it is resumed within the engine's period of grace.
pub struct Generation {
    /// What the engine said at the start.
    pub started: Started,
    /// Tokens in order; ends after the last one, or with an error.
    pub chunks: BoxStream<'static, Result<Chunk>>,
}

/// Weights that an engine holds and serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldWeights {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// Load of an engine, reported with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens that wait for computation.
    pub queued_tokens: u64,
    /// Generations that run.
    pub running: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Weights that it holds and serves, none if it doesn't say.
    pub weights: Option<Vec<HeldWeights>>,
}

/// A change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A piece is held now.
    Stored(u64),
    /// A piece is held no more.
    Evicted(u64),
}

/// Cache events of one incarnation; a gap shows in `first_sequence`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// An absolute order to an engine, safe to repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the lease under which it is given.
    pub fencing: u64,
    /// Model that the engine shall serve.
    pub model: String,
    /// Weights that it shall hold.
    pub weights_version: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// Taken; the engine is loading, or holds the weights already.
    Taken,
    /// Refused for an older fencing number than this.
    StaleFencing(u64),
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Starts a generation.
    fn generate(&self, peer: SocketAddr, req: GenerateRequest)
        -> BoxFuture<'_, Result<Generation>>;

    /// Resumes a stream that the engine still holds, from `position` on.
    fn resume(
        &self,
        peer: SocketAddr,
        stream: &str,
        incarnation: u64,
        position: u32,
    ) -> BoxFuture<'_, Result<Generation>>;

    /// Cancels a stream.
    fn cancel(&self, peer: SocketAddr, stream: &str) -> BoxFuture<'_, Result<()>>;

    /// Reads the load.
    fn load(&self, peer: SocketAddr) -> BoxFuture<'_, Result<Load>>;

    /// Waits for cache events from `sequence` on, for `wait_ms` at most.
    fn cache_events(
        &self,
        peer: SocketAddr,
        incarnation: u64,
        sequence: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<CacheEvents>>;

    /// Gives an order.
    fn order(&self, peer: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderResponse>>;
}
