//! The platform's key-value service and membership list.

mod error;
mod http_client;
mod http_key_value;
mod http_membership_list;
mod key_value;
mod membership;
mod router_status;
pub mod wire;

pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::http_key_value::HttpKeyValue;
pub use crate::http_membership_list::HttpMembershipList;
pub use crate::key_value::Change;
pub use crate::key_value::KeyValue;
pub use crate::key_value::LeaseId;
pub use crate::key_value::SwapOutcome;
pub use crate::key_value::Version;
pub use crate::key_value::Versioned;
pub use crate::membership::Member;
pub use crate::membership::Members;
pub use crate::membership::MembershipList;
pub use crate::membership::Role;
pub use crate::router_status::RouterStatus;
pub use crate::router_status::ROUTER_STATUS_PREFIX;
