//! Small stand-ins for the outside systems, never shipped.

mod http_server;
mod json_body;
mod key_value_store;
mod member_store;
mod platform;
mod platform_faults;
mod platform_server;

pub use crate::key_value_store::KeyValueStore;
pub use crate::member_store::MemberStore;
pub use crate::platform::Platform;
pub use crate::platform_faults::CallKind;
pub use crate::platform_server::PlatformServer;
