//! Model engines and plain services behind the router.

mod engine;
mod error;
mod service;

pub use crate::engine::CacheEvent;
pub use crate::engine::CacheEvents;
pub use crate::engine::Chunk;
pub use crate::engine::Engine;
pub use crate::engine::GenerateRequest;
pub use crate::engine::Generation;
pub use crate::engine::Load;
pub use crate::engine::Order;
pub use crate::engine::OrderAnswer;
pub use crate::engine::Started;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::service::PlainService;
pub use crate::service::ServiceAnswer;
pub use crate::service::ServiceRequest;
