//! Messages that start, resume and cancel a generation.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::FetchFrom;
use crate::GenerateRequest;

/// Request of [`path::GENERATE`](super::path::GENERATE).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateMessage {
    /// Stream name, chosen by the router to resume or cancel the stream later.
    pub stream: String,
    /// Workspace; engines don't share cache entries between workspaces.
    pub workspace: String,
    /// Model that generates.
    pub model: String,
    /// Required version of the weights, 0 for any.
    pub weights_version: u64,
    /// Expected incarnation of the engine, 0 for any.
    pub incarnation: u64,
    /// Prompt text, with chat messages already rendered into it.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Rank of the priority class; the highest rank goes first.
    pub priority: u8,
    /// Texts of the tokens already delivered by another engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delivered: Vec<String>,
    /// Server from which the engine may fetch KV-cache blocks that it lacks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<FetchFromRecord>,
}

/// Wire form of [`FetchFrom`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFromRecord {
    /// Address of the server that holds the blocks.
    pub address: SocketAddr,
    /// Incarnation of that server.
    pub incarnation: u64,
}

/// Request of [`path::RESUME`](super::path::RESUME).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeMessage {
    /// Name of the stream, as in its [`GenerateMessage`].
    pub stream: String,
    /// Incarnation of the engine that started the stream.
    pub incarnation: u64,
    /// Position of the first token to send.
    pub position: u32,
}

/// Request of [`path::CANCEL`](super::path::CANCEL).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Name of the stream, as in its [`GenerateMessage`].
    pub stream: String,
}

impl From<GenerateRequest> for GenerateMessage {
    fn from(req: GenerateRequest) -> GenerateMessage {
        GenerateMessage {
            stream: req.stream,
            workspace: req.workspace,
            model: req.model,
            weights_version: req.weights_version,
            incarnation: req.incarnation,
            prompt: req.prompt,
            max_tokens: req.max_tokens,
            priority: req.priority,
            delivered: req.delivered,
            fetch_from: req.fetch_from.map(Into::into),
        }
    }
}

impl From<GenerateMessage> for GenerateRequest {
    fn from(message: GenerateMessage) -> GenerateRequest {
        GenerateRequest {
            stream: message.stream,
            workspace: message.workspace,
            model: message.model,
            weights_version: message.weights_version,
            incarnation: message.incarnation,
            prompt: message.prompt,
            max_tokens: message.max_tokens,
            priority: message.priority,
            delivered: message.delivered,
            fetch_from: message.fetch_from.map(Into::into),
        }
    }
}

impl From<FetchFrom> for FetchFromRecord {
    fn from(from: FetchFrom) -> FetchFromRecord {
        FetchFromRecord {
            address: from.address,
            incarnation: from.incarnation,
        }
    }
}

impl From<FetchFromRecord> for FetchFrom {
    fn from(record: FetchFromRecord) -> FetchFrom {
        FetchFrom {
            address: record.address,
            incarnation: record.incarnation,
        }
    }
}
