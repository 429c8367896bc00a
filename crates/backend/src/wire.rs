//! JSON messages of the model engines' HTTP protocol.
//!
//! Each call is a `POST` of one JSON object to a path of [`path`]. The response is
//! one JSON object, or for [`path::GENERATE`] and [`path::RESUME`] a stream of
//! server-sent events: one [`StreamEvent::Started`], then [`StreamEvent::Token`]s.

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

/// HTTP paths of the calls.
pub mod path {
    /// Starts a generation.
    pub const GENERATE: &str = "/engine/generate";
    /// Resumes a stream.
    pub const RESUME: &str = "/engine/resume";
    /// Cancels a stream.
    pub const CANCEL: &str = "/engine/cancel";
    /// Polls the load.
    pub const LOAD: &str = "/engine/load";
    /// Waits for cache events.
    pub const CACHE_EVENTS: &str = "/engine/cache_events";
    /// Gives an order to load weights.
    pub const ORDER: &str = "/engine/order";
    /// Exports KV-cache blocks to another engine.
    pub const EXPORT: &str = "/engine/export";
}

/// Response header with the reason why nothing of the request was run.
pub const REFUSED_HEADER: &str = "x-refused";

/// Request of [`path::GENERATE`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateMessage {
    /// Stream name, chosen by the router to resume or cancel the stream later.
    pub stream: String,
    /// Workspace; engines don't share cache entries between workspaces.
    pub workspace: String,
    /// Model that generates.
    pub model: String,
    /// Required version of the weights, 0 for any.
    pub weights_version: u64,
    /// Expected incarnation of the engine, 0 for any.
    pub incarnation: u64,
    /// Prompt text, with chat messages already rendered into it.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Rank of the priority class; the highest rank goes first.
    pub priority: u8,
    /// Texts of the tokens already delivered by another engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delivered: Vec<String>,
    /// Server from which the engine may fetch KV-cache blocks that it lacks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<FetchFromRecord>,
}

/// Wire form of [`FetchFrom`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFromRecord {
    /// Address of the server that holds the blocks.
    pub address: SocketAddr,
    /// Incarnation of that server.
    pub incarnation: u64,
}

/// Request of [`path::RESUME`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeMessage {
    /// Name of the stream, as in its [`GenerateMessage`].
    pub stream: String,
    /// Incarnation of the engine that started the stream.
    pub incarnation: u64,
    /// Position of the first token to send.
    pub position: u32,
}

/// Request of [`path::CANCEL`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Name of the stream, as in its [`GenerateMessage`].
    pub stream: String,
}

/// Event in the response of [`path::GENERATE`] and [`path::RESUME`].
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

/// Response of [`path::LOAD`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Number of running generations.
    pub running: u32,
    /// Whether the engine is about to shut down and refuses new generations.
    pub leaving: bool,
    /// Loaded weights; `None` if the engine doesn't report them.
    #[serde(default)]
    pub weights: Option<Vec<HeldWeights>>,
}

/// Request of [`path::CACHE_EVENTS`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEventsMessage {
    /// Last incarnation of the engine that the router has seen, 0 for none.
    pub incarnation: u64,
    /// Sequence number of the first event to return.
    pub sequence: u64,
    /// Maximum time to wait for an event, in milliseconds.
    pub wait_ms: u64,
}

/// Response of [`path::CACHE_EVENTS`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEventRecord>,
}

/// Wire form of [`CacheEvent`]; the number is the block's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventRecord {
    /// A block was added.
    Stored(u64),
    /// A block was removed.
    Evicted(u64),
}

/// Request of [`path::ORDER`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Fencing token of the loading slot under which the order is given.
    pub fencing: u64,
    /// Model that the engine must serve.
    pub model: String,
    /// Version of the weights that it must load.
    pub weights_version: u64,
}

/// Response of [`path::ORDER`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponseRecord {
    /// Accepted: the engine is loading the weights or already has them.
    Taken,
    /// Refused because the engine has seen this higher fencing token.
    StaleFencing(u64),
}

/// Request of [`path::EXPORT`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportMessage {
    /// Expected incarnation of the engine.
    pub incarnation: u64,
    /// Model that computed the blocks.
    pub model: String,
    /// Version of the weights with which the blocks must have been computed.
    pub weights_version: u64,
    /// Keys of the requested blocks.
    pub keys: Vec<u64>,
}

/// Response of [`path::EXPORT`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Keys of the requested blocks that the engine has cached.
    pub keys: Vec<u64>,
}

/// Response without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Request without content.
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
    fn from(record: OrderResponseRecord) -> OrderResponse {
        match record {
            OrderResponseRecord::Taken => OrderResponse::Taken,
            OrderResponseRecord::StaleFencing(fencing) => OrderResponse::StaleFencing(fencing),
        }
    }
}
