//! Clients for backend servers: model engines and plain services, called over HTTP.

mod call_context;
mod connection_pool;
mod engine;
mod error;
mod event_reader;
mod http_engine;
mod http_plain_service;
mod service;
mod token_stream;
pub mod wire;

pub use crate::engine::CacheEvent;
pub use crate::engine::CacheEvents;
pub use crate::engine::Chunk;
pub use crate::engine::Engine;
pub use crate::engine::FetchFrom;
pub use crate::engine::GenerateRequest;
pub use crate::engine::Generation;
pub use crate::engine::HeldWeights;
pub use crate::engine::Load;
pub use crate::engine::Order;
pub use crate::engine::OrderResponse;
pub use crate::engine::Started;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::http_engine::HttpEngine;
pub use crate::http_plain_service::HttpPlainService;
pub use crate::service::PlainService;
pub use crate::service::ResponseMemory;
pub use crate::service::ServiceRequest;
pub use crate::service::ServiceResponse;
