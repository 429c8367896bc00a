//! Decisions for requests whose bytes the router forwards without reading them.
//!
//! Everything here is pure: time, a seed and facts go in, choices come out. The
//! package `gateway` carries them out.

mod affinity;
mod cache_scope;
mod configuration;
mod engine_priority;
mod event_splitter;
mod fleet;
mod gossip;
mod holdings;
mod order_plan;
mod placement;
mod reading;
mod retry;
mod send_budget;
mod server_entry;
mod tenure;
mod weights;

pub use cache_scope::cache_scope;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Route;
pub use configuration::RouteKind;
pub use configuration::ServiceSpec;
pub use configuration::Share;
pub use configuration::Workspace;
pub use engine_priority::engine_priority;
pub use event_splitter::EventSplitter;
pub use event_splitter::SplitError;
pub use event_splitter::StreamEvent;
pub use fleet::BackendServer;
pub use fleet::Fleet;
pub use fleet::FleetChange;
pub use fleet::Load;
pub use fleet::ServerKey;
pub use gossip::Gossip;
pub use gossip::ToldLoad;
pub use gossip::ToldPart;
pub use gossip::ToldSwitch;
pub use gossip::ToldWeights;
pub use holdings::Holder;
pub use holdings::Holdings;
pub use holdings::PartKey;
pub use order_plan::Observed;
pub use order_plan::OrderPlan;
pub use order_plan::OrderStep;
pub use order_plan::Reply;
pub use placement::Ask;
pub use placement::Choice;
pub use placement::Placement;
pub use placement::Prompt;
pub use placement::PromptPart;
pub use placement::Unplaceable;
pub use retry::AttemptEnd;
pub use retry::Progress;
pub use retry::Retry;
pub use retry::Verdict;
pub use send_budget::SendBudget;
pub use server_entry::ServerEntry;
pub use server_entry::ServerState;
pub use tenure::Tenure;
pub use weights::Naming;
pub use weights::Weights;
