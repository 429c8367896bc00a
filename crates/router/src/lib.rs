//! The router process.
//!
//! `Frontend` accepts callers' HTTP connections and `Handler` responds to
//! their requests. One actor (`NodeActor`) owns the policy state machine
//! (`policy::Node`), and `ActionExecutor` executes the actions it decides on.
//! Tokens flow from engine to caller through one task per call
//! (`GenerationTask`), without passing through the actor.

mod body;
mod call_command;
mod call_headers;
mod clock;
mod completion;
mod completion_request;
mod completion_writer;
mod config_task;
mod connections;
mod counted_key_value;
mod counted_membership;
mod delivered_tokens;
mod engine_attempt;
mod engine_watches;
mod event_body;
mod event_id;
mod explain;
mod external_services;
mod failure;
mod fingerprint;
// A log line's target is its module path, and operators' `log` settings name
// this one as `router::front`.
#[path = "frontend.rs"]
mod front;
mod generation_item;
mod generation_source;
mod generation_task;
mod handler;
// A log line's target is its module path, and operators' `log` settings name
// this one as `router::hands`.
#[path = "action_executor.rs"]
mod hands;
mod hex;
mod jitter;
mod limits;
mod log_specification;
mod membership_task;
mod metrics;
mod node_actor;
mod node_handle;
mod node_message;
mod open_connection;
mod order_task;
mod peer_inbox;
mod ports;
mod problem;
mod rejection;
mod request_hold;
mod router;
mod router_state;
mod self_description;
mod service_call;
mod service_path;
mod service_task;
mod settings;
mod settings_error;
mod settings_reader;
mod status_task;
mod store;
mod tasks;
mod ticker;
mod tracked_body;
mod write_timeout_io;

pub use crate::event_id::BadEventId;
pub use crate::event_id::EventId;
pub use crate::event_id::EventIdCodec;
pub use crate::event_id::Origin;
pub use crate::event_id::SignedOrigin;
pub use crate::external_services::ExternalServices;
pub use crate::limits::Limits;
pub use crate::log_specification::log_specification;
pub use crate::router::Error;
pub use crate::router::Router;
pub use crate::settings::Settings;
pub use crate::settings_error::SettingsError;

use crate::call_command::CallCommand;
use crate::call_headers::CallHeaders;
use crate::completion_request::CompletionApi;
use crate::completion_request::CompletionRequest;
use crate::completion_writer::CompletionWriter;
use crate::completion_writer::Usage;
use crate::config_task::ConfigTask;
use crate::counted_key_value::CountedKeyValue;
use crate::counted_membership::CountedMembership;
use crate::engine_attempt::EngineAttempt;
use crate::engine_watches::EngineWatches;
use crate::engine_watches::WatchedEngine;
use crate::event_body::EventBody;
use crate::event_body::ResponseBody;
use crate::front::Frontend;
use crate::generation_item::GenerationItem;
use crate::generation_item::Token;
use crate::generation_source::GenerationSource;
use crate::generation_task::GenerationTask;
use crate::handler::Handler;
use crate::hands::ActionExecutor;
use crate::membership_task::MembershipTask;
use crate::metrics::Metrics;
use crate::node_actor::NodeActor;
use crate::node_actor::NodeArguments;
use crate::node_handle::NodeHandle;
use crate::node_message::NodeMessage;
use crate::peer_inbox::PeerInbox;
use crate::ports::Ports;
use crate::problem::Problem;
use crate::rejection::Rejection;
use crate::router_state::RouterState;
use crate::self_description::SelfDescription;
use crate::service_path::ServicePath;
use crate::service_task::ServiceOutcome;
use crate::service_task::ServiceTask;
use crate::status_task::StatusTask;
use crate::store::Store;
use crate::tasks::Tasks;
use crate::write_timeout_io::WriteTimeoutIo;
