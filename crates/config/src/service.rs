//! Plain services that stand beside the model engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A plain service with its replicas and calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Addresses of its replicas, by name.
    pub replicas: BTreeMap<String, SocketAddr>,
    /// Calls that it takes, the first match decides.
    pub calls: Vec<Call>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path after the service's name.
    pub path_prefix: String,
    /// Whether the call may be repeated without harm.
    pub idempotent: bool,
}

impl Service {
    /// Returns the first declared call that a request matches.
    pub fn find_call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls
            .iter()
            .find(|call| call.method == method && path.starts_with(&call.path_prefix))
    }
}
