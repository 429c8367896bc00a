//! Messages of the model engines' HTTP protocol.
//!
//! Each call is a `POST` of one JSON object to the path named in [`path`]. The
//! answer is one JSON object, or for [`path::GENERATE`] and [`path::RESUME`] a
//! stream of server-sent events: one [`StreamEvent::Started`], then tokens.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::CacheEvent;
use crate::CacheEvents;
use crate::Chunk;
use crate::FetchFrom;
use crate::GenerateRequest;
use crate::HeldWeights;
use crate::Load;
use crate::Order;
use crate::OrderResponse;
use crate::Started;

/// Paths of the calls.
pub mod path {
    /// Starts a generation.
    pub const GENERATE: &str = "/engine/generate";
    /// Resumes a stream.
    pub const RESUME: &str = "/engine/resume";
    /// Cancels a stream.
    pub const CANCEL: &str = "/engine/cancel";
    /// Reads the load.
    pub const LOAD: &str = "/engine/load";
    /// Waits for cache events.
    pub const CACHE_EVENTS: &str = "/engine/cache_events";
    /// Gives an order.
    pub const ORDER: &str = "/engine/order";
    /// Exports pieces of the KV cache to another engine.
    pub const EXPORT: &str = "/engine/export";
}

/// Header of an answer that says why nothing was run.
pub const REFUSED_HEADER: &str = "x-refused";

/// Asks for a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateMessage {
    /// Name by which the stream can be resumed or cancelled.
    pub stream: String,
    /// Workspace.
    pub workspace: String,
    /// Model.
    pub model: String,
    /// Version of the weights.
    pub weights_version: u64,
    /// Incarnation that is relied on, 0 for any.
    pub incarnation: u64,
    /// Prompt text.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Rank of the priority class.
    pub priority: u8,
    /// Tokens already delivered by another engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delivered: Vec<String>,
    /// Server that holds missing pieces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<FetchFromRecord>,
}

/// A server that holds pieces another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFromRecord {
    /// Address.
    pub address: SocketAddr,
    /// Incarnation.
    pub incarnation: u64,
}

/// Asks for the rest of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeMessage {
    /// Name of the stream.
    pub stream: String,
    /// Incarnation of the engine that ran it.
    pub incarnation: u64,
    /// Position of the first token wanted.
    pub position: u32,
}

/// Asks to cancel a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Name of the stream.
    pub stream: String,
}

/// Event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamEvent {
    /// The generation runs.
    Started(StartedRecord),
    /// One token.
    Token(TokenRecord),
}

/// What an engine says when a generation starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRecord {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in its cache.
    pub cached_tokens: u64,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// Position in the whole answer, from 0.
    pub position: u32,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last token.
    #[serde(default, skip_serializing_if = "is_false")]
    pub last: bool,
}

/// Load of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens that wait for computation.
    pub queued_tokens: u64,
    /// Generations that run.
    pub running: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Weights that it holds and serves, none if it doesn't say.
    #[serde(default)]
    pub weights: Option<Vec<HeldWeights>>,
}

/// Asks for cache events.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEventsMessage {
    /// Incarnation that the caller knows.
    pub incarnation: u64,
    /// Sequence number of the first event wanted.
    pub sequence: u64,
    /// Time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Answers with cache events.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in order.
    pub events: Vec<CacheEventRecord>,
}

/// A change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventRecord {
    /// A piece is held now.
    Stored(u64),
    /// A piece is held no more.
    Evicted(u64),
}

/// An order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Fencing number.
    pub fencing: u64,
    /// Model.
    pub model: String,
    /// Weights.
    pub weights_version: u64,
}

/// Answers an order.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponseRecord {
    /// Taken.
    Taken,
    /// Refused for an older fencing number than this.
    StaleFencing(u64),
}

/// Asks for pieces of the KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportMessage {
    /// Incarnation that is relied on.
    pub incarnation: u64,
    /// Model.
    pub model: String,
    /// Version of the weights with which the pieces must have been computed.
    pub weights_version: u64,
    /// Keys of the pieces wanted.
    pub keys: Vec<u64>,
}

/// Answers with pieces of the KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Keys of the pieces that it held.
    pub keys: Vec<u64>,
}

/// Answer without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Message without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyMessage {}

fn is_false(value: &bool) -> bool {
    !value
}

impl From<GenerateRequest> for GenerateMessage {
    fn from(req: GenerateRequest) -> GenerateMessage {
        GenerateMessage {
            stream: req.stream,
            workspace: req.workspace,
            model: req.model,
            weights_version: req.weights_version,
            incarnation: req.incarnation,
            prompt: req.prompt,
            max_tokens: req.max_tokens,
            priority: req.priority,
            delivered: req.delivered,
            fetch_from: req.fetch_from.map(Into::into),
        }
    }
}

impl From<GenerateMessage> for GenerateRequest {
    fn from(message: GenerateMessage) -> GenerateRequest {
        GenerateRequest {
            stream: message.stream,
            workspace: message.workspace,
            model: message.model,
            weights_version: message.weights_version,
            incarnation: message.incarnation,
            prompt: message.prompt,
            max_tokens: message.max_tokens,
            priority: message.priority,
            delivered: message.delivered,
            fetch_from: message.fetch_from.map(Into::into),
        }
    }
}

impl From<FetchFrom> for FetchFromRecord {
    fn from(from: FetchFrom) -> FetchFromRecord {
        FetchFromRecord {
            address: from.address,
            incarnation: from.incarnation,
        }
    }
}

impl From<FetchFromRecord> for FetchFrom {
    fn from(record: FetchFromRecord) -> FetchFrom {
        FetchFrom {
            address: record.address,
            incarnation: record.incarnation,
        }
    }
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

impl From<Load> for LoadResponse {
    fn from(load: Load) -> LoadResponse {
        LoadResponse {
            incarnation: load.incarnation,
            queued_tokens: load.queued_tokens,
            running: load.running,
            leaving: load.leaving,
            weights: load.weights,
        }
    }
}

impl From<LoadResponse> for Load {
    fn from(response: LoadResponse) -> Load {
        Load {
            incarnation: response.incarnation,
            queued_tokens: response.queued_tokens,
            running: response.running,
            leaving: response.leaving,
            weights: response.weights,
        }
    }
}

impl From<CacheEvent> for CacheEventRecord {
    fn from(event: CacheEvent) -> CacheEventRecord {
        match event {
            CacheEvent::Stored(key) => CacheEventRecord::Stored(key),
            CacheEvent::Evicted(key) => CacheEventRecord::Evicted(key),
        }
    }
}

impl From<CacheEventRecord> for CacheEvent {
    fn from(record: CacheEventRecord) -> CacheEvent {
        match record {
            CacheEventRecord::Stored(key) => CacheEvent::Stored(key),
            CacheEventRecord::Evicted(key) => CacheEvent::Evicted(key),
        }
    }
}

impl From<CacheEvents> for CacheEventsResponse {
    fn from(events: CacheEvents) -> CacheEventsResponse {
        CacheEventsResponse {
            incarnation: events.incarnation,
            first_sequence: events.first_sequence,
            events: events.events.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<CacheEventsResponse> for CacheEvents {
    fn from(response: CacheEventsResponse) -> CacheEvents {
        CacheEvents {
            incarnation: response.incarnation,
            first_sequence: response.first_sequence,
            events: response.events.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Order> for OrderMessage {
    fn from(order: Order) -> OrderMessage {
        OrderMessage {
            fencing: order.fencing,
            model: order.model,
            weights_version: order.weights_version,
        }
    }
}

impl From<OrderMessage> for Order {
    fn from(message: OrderMessage) -> Order {
        Order {
            fencing: message.fencing,
            model: message.model,
            weights_version: message.weights_version,
        }
    }
}

impl From<OrderResponse> for OrderResponseRecord {
    fn from(response: OrderResponse) -> OrderResponseRecord {
        match response {
            OrderResponse::Taken => OrderResponseRecord::Taken,
            OrderResponse::StaleFencing(fencing) => OrderResponseRecord::StaleFencing(fencing),
        }
    }
}

impl From<OrderResponseRecord> for OrderResponse {
    fn from(reply: OrderResponseRecord) -> OrderResponse {
        match reply {
            OrderResponseRecord::Taken => OrderResponse::Taken,
            OrderResponseRecord::StaleFencing(fencing) => OrderResponse::StaleFencing(fencing),
        }
    }
}
