//! JSON messages of the model engines' HTTP protocol.
//!
//! Each call is a `POST` of one JSON object to a path of [`path`]. The response is
//! one JSON object, or for [`path::GENERATE`] and [`path::RESUME`] a stream of
//! server-sent events: one [`StreamEvent::Started`], then [`StreamEvent::Token`]s.

mod cache_events;
mod export;
mod generation;
mod load_response;
mod order;
mod stream_event;

use serde::Deserialize;
use serde::Serialize;

pub use cache_events::CacheEventRecord;
pub use cache_events::CacheEventsMessage;
pub use cache_events::CacheEventsResponse;
pub use export::ExportMessage;
pub use export::ExportResponse;
pub use generation::CancelMessage;
pub use generation::FetchFromRecord;
pub use generation::GenerateMessage;
pub use generation::ResumeMessage;
pub use load_response::LoadResponse;
pub use order::OrderMessage;
pub use order::OrderResponseRecord;
pub use stream_event::StartedRecord;
pub use stream_event::StreamEvent;
pub use stream_event::TokenRecord;

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

/// Response without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Request without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyMessage {}
