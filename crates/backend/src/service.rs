//! The [`PlainService`] trait, implemented by clients of plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::Result;

/// Request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query, without the service's name.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Idempotency key of the caller, forwarded unchanged.
    pub key: Option<String>,
    /// Body, not interpreted.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body, not interpreted.
    pub body: Bytes,
}

/// Grants memory for a response that is read whole.
pub trait ResponseMemory: Send + Sync {
    /// Takes `bytes` more bytes, which are given back with the response. Returns false, and takes none, if
    /// there is no room for them now.
    fn try_grow(&self, bytes: u64) -> bool;
}

/// Client of plain services; `peer` is the address of the replica to call.
pub trait PlainService: Send + Sync {
    /// Sends a request and waits for the whole response, for which `memory` is taken.
    fn call(
        &self,
        peer: SocketAddr,
        req: ServiceRequest,
        memory: Arc<dyn ResponseMemory>,
    ) -> BoxFuture<'_, Result<ServiceResponse>>;
}
