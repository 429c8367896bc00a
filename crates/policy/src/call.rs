//! Requests of callers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CallId;
use crate::Incarnation;
use crate::PrefixHash;
use crate::Time;

/// A request as it came from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// Key that the caller of [`crate::Node::handle`] gave it.
    pub call: CallId,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Priority class, by its name; none for the lowest.
    pub priority: Option<String>,
    /// Time by which the caller wants the answer, if it named one.
    pub deadline: Option<Time>,
    /// Hash of the whole body, for a request that crashes its runners.
    pub fingerprint: u64,
    /// What is to be done.
    pub work: Work,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A completion by a model engine.
    Generate(Generate),
    /// The rest of a stream that an engine still holds.
    Resume(Resume),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// A completion by a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    /// Name of the model.
    pub model: String,
    /// Content of the prompt's whole pieces.
    pub blocks: Vec<PrefixHash>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub max_tokens: u32,
}

/// The rest of a stream that an engine still holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Resume {
    /// Workspace that the stream's id names.
    pub workspace: String,
    /// Backend server.
    pub server: String,
    /// Incarnation of its engine.
    pub incarnation: Incarnation,
    /// Tokens that the caller has.
    pub delivered: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path after the service's name.
    pub path: String,
    /// Idempotency key, as it came.
    pub key: Option<String>,
}

/// Answer of a plain service, kept for repeats of its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Arc<Vec<u8>>,
}
