//! The declaration of a plain service, which callers reach beside the model engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A plain service: an HTTP service whose calls the router forwards to one of its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Addresses of the replicas by name.
    pub replicas: BTreeMap<String, SocketAddr>,
    /// Calls that the service accepts; the first match decides how a request is handled.
    pub calls: Vec<Call>,
}

/// A kind of call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the request path, without the service's name.
    pub path_prefix: String,
    /// Whether the call may be executed more than once, so that it can be retried.
    pub idempotent: bool,
}

impl Service {
    /// Returns the first declared call that matches a request.
    pub fn find_call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls
            .iter()
            .find(|call| call.method == method && path.starts_with(&call.path_prefix))
    }
}
