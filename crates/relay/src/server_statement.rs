//! What backend servers say of themselves in responses, as routers tell each other.
//!
//! Such a statement reaches one router and binds all of them. It holds for one incarnation, and
//! stands in each message, so that a router that starts learns it too.

use serde::Deserialize;
use serde::Serialize;

use crate::BrittlenessUpdate;
use crate::LimitUpdate;

/// What one incarnation of a backend server has said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatement {
    /// Instance hash of the backend server.
    pub server: u64,
    /// Whether it leaves, although it is registered as ready.
    pub leaving: bool,
    /// The limit on its requests, if it has named one.
    pub limit: Option<LimitUpdate>,
    /// The rejections that it stands, if it has named a number.
    pub brittleness: Option<BrittlenessUpdate>,
}
