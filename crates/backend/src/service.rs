//! Plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::Result;

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path after the service's name, with the query.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Idempotency key, passed on as it came.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Sends a call and waits for its whole answer.
    fn call(&self, peer: SocketAddr, req: ServiceRequest)
        -> BoxFuture<'_, Result<ServiceResponse>>;
}
