//! Requests from callers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CallId;
use crate::Incarnation;
use crate::PrefixHash;
use crate::Time;

/// A request from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// Id chosen by the code that calls [`crate::Node::handle`].
    pub call: CallId,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Name of the priority class; none for the lowest rank.
    pub priority: Option<String>,
    /// Time by which the caller wants the response, if the request names one.
    pub deadline: Option<Time>,
    /// Hash of the whole body, which identifies a request that crashes engines.
    pub fingerprint: u64,
    /// What the caller asks for.
    pub work: Work,
}

/// The kinds of calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Generate a completion on a model engine.
    Generate(Generate),
    /// Resume a stream that an engine still holds.
    Resume(Resume),
    /// Call a plain service.
    Service(ServiceCall),
}

/// Arguments of a completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    /// Name of the model.
    pub model: String,
    /// Prefix hashes of the prompt's whole blocks.
    pub blocks: Vec<PrefixHash>,
    /// Number of tokens in the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Arguments for resuming a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Resume {
    /// Name of the workspace, taken from the id of the stream.
    pub workspace: String,
    /// Name of the backend server that holds the stream.
    pub server: String,
    /// Incarnation of the engine that holds the stream.
    pub incarnation: Incarnation,
    /// Number of tokens that the caller has received.
    pub delivered: u32,
}

/// Arguments of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Request path without the service name.
    pub path: String,
    /// Idempotency key as sent by the caller, not validated.
    pub key: Option<String>,
}

/// Response of a plain service, recorded to answer retries of the same call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Arc<Vec<u8>>,
}
