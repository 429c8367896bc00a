//! Clients of the services outside the router's process.

use std::sync::Arc;

use backend::Engine;
use backend::PlainService;
use platform::KeyValue;
use platform::MembershipList;

/// Clients of the services outside the router's process: the platform and the backend servers.
#[derive(Clone)]
pub struct ExternalServices {
    /// Client of the platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Client of the platform's membership list.
    pub membership: Arc<dyn MembershipList>,
    /// Client of the model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of the plain services.
    pub service: Arc<dyn PlainService>,
}
