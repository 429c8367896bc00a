//! Small stand-ins for the outside systems, never shipped.

mod announcer;
mod engine;
mod engine_handler;
mod engine_record;
mod engine_refusal;
mod engine_run;
mod engine_settings;
mod engine_stream;
mod engine_worker;
mod http_server;
mod json_body;
mod key_value_store;
mod member_store;
mod piece_cache;
mod platform;
mod platform_faults;
mod platform_server;
mod service;
mod token_text;
mod weight_store;

pub use crate::announcer::Announcer;
pub use crate::engine::Engine;
pub use crate::engine_record::EngineRecord;
pub use crate::engine_settings::EngineSettings;
pub use crate::key_value_store::KeyValueStore;
pub use crate::member_store::MemberStore;
pub use crate::piece_cache::PieceCache;
pub use crate::platform::Platform;
pub use crate::platform_faults::CallKind;
pub use crate::platform_server::PlatformServer;
pub use crate::service::Service;
pub use crate::service::ServiceRecord;
pub use crate::service::ServiceSettings;
pub use crate::token_text::PromptHash;
pub use crate::weight_store::WeightStore;
