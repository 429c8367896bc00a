//! What a router reaches outside its own process.

use std::sync::Arc;

use backend::Engine;
use backend::PlainService;
use platform::KeyValue;
use platform::MembershipList;

/// What a router reaches outside its own process.
#[derive(Clone)]
pub struct ExternalServices {
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// The platform's membership list.
    pub membership: Arc<dyn MembershipList>,
    /// The way to model engines.
    pub engine: Arc<dyn Engine>,
    /// The way to plain services.
    pub service: Arc<dyn PlainService>,
}
