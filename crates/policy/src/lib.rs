//! Routing decisions as a pure state machine.
//!
//! Time, a seed and events go in, actions come out: [`Node::handle`] is the
//! whole interface. Nothing here reads a clock, opens a socket or spawns a task.

mod action;
mod call;
mod event;
mod ids;
mod node;
mod outcome;
mod peer_message;
mod piece;
mod relay;
mod store;
mod time;

pub use crate::action::Action;
pub use crate::action::Attempt;
pub use crate::action::Dispatch;
pub use crate::action::FetchFrom;
pub use crate::call::CallRequest;
pub use crate::call::Generate;
pub use crate::call::Resume;
pub use crate::call::ServiceCall;
pub use crate::call::StoredAnswer;
pub use crate::call::Work;
pub use crate::event::BackendReport;
pub use crate::event::CacheChange;
pub use crate::event::CacheReport;
pub use crate::event::Event;
pub use crate::event::Failure;
pub use crate::event::LoadReport;
pub use crate::event::Member;
pub use crate::event::MemberRole;
pub use crate::ids::AttemptId;
pub use crate::ids::CallId;
pub use crate::ids::Incarnation;
pub use crate::ids::OpId;
pub use crate::ids::ServerKey;
pub use crate::node::Identity;
pub use crate::node::Node;
pub use crate::outcome::Outcome;
pub use crate::outcome::Reason;
pub use crate::outcome::Refusal;
pub use crate::outcome::Sent;
pub use crate::outcome::Unsent;
pub use crate::peer_message::CellLoad;
pub use crate::peer_message::PeerMessage;
pub use crate::peer_message::PlaceRequest;
pub use crate::peer_message::Placed;
pub use crate::peer_message::ServerMark;
pub use crate::peer_message::Snapshot;
pub use crate::peer_message::Strike;
pub use crate::piece::content_chain;
pub use crate::piece::ContentHash;
pub use crate::piece::PieceKey;
pub use crate::piece::PieceSeed;
pub use crate::piece::BYTES_PER_TOKEN;
pub use crate::piece::PIECE_TOKENS;
pub use crate::relay::Relay;
pub use crate::relay::RelayStep;
pub use crate::store::StoreRequest;
pub use crate::store::StoreResult;
pub use crate::time::Time;
