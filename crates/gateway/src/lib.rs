//! Forwards requests that it does not read, as the decisions in `relay` say.
//!
//! Everything runs on one thread: a VM of the system has a part of one core, and
//! state that is never shared between threads needs no locks. What speaks to
//! the outside stands behind the traits [`Codec`], [`Store`] and [`Engines`].

mod attempt;
mod belief;
mod body;
mod clock;
mod codec;
mod context;
mod ended;
mod engines;
mod evidence;
mod exchange;
mod feed;
mod fleet_feed;
mod front;
mod gateway;
mod gossip_task;
mod in_flight;
mod intake;
mod listener;
mod log_sink;
mod metrics;
mod orders;
mod peers;
mod pool;
mod records;
mod refusal;
mod settings;
mod settings_file;
mod settings_json;
mod snapshot;
mod status_pages;
mod store;
mod stream_relay;
mod timing;

pub use clock::now;
pub use codec::AnswerHead;
pub use codec::BadHead;
pub use codec::Codec;
pub use codec::ExpectedWeights;
pub use codec::PromptHead;
pub use codec::RequestHead;
pub use codec::SendHead;
pub use engines::Engines;
pub use engines::WeightsOrder;
pub use gateway::Error;
pub use gateway::Gateway;
pub use gateway::Outside;
pub use listener::listen;
pub use log_sink::LogSink;
pub use pool::configure;
pub use pool::describe;
pub use settings::Listen;
pub use settings::RepeatLimits;
pub use settings::Settings;
pub use settings::SettingsError;
pub use store::Committed;
pub use store::LeaseId;
pub use store::Listing;
pub use store::Record;
pub use store::Revision;
pub use store::Store;
pub use store::StoreError;
pub use store::Topic;
pub use store::Update;
pub use store::Watched;
pub use store::Write;
