//! Heads of requests and answers, as the platform's callers and backend servers write them.

use std::net::SocketAddr;
use std::sync::Arc;

use http::request;
use http::response;
use http::HeaderMap;
use relay::PromptPart;
use snafu::Snafu;

/// A request's head that can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("header {header}: {reason}"))]
pub struct BadHead {
    /// Header at fault.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// The model side of a request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptHead {
    /// Model that runs it.
    pub model: String,
    /// Parts of its prompt in their order; the last is its own.
    pub parts: Vec<PromptPart>,
}

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; backend servers echo it.
    pub id: String,
    /// Host without its port.
    pub host: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time that the caller will wait, in milliseconds.
    pub max_wait_ms: Option<u64>,
    /// Last event that the caller has of a stream it resumes.
    pub last_event: Option<u64>,
    /// Its model side.
    pub prompt: Option<PromptHead>,
}

/// What the gateway adds to a request for one backend server.
#[derive(Clone, Debug)]
pub struct ForwardHead {
    /// Id of the backend server that is meant; others must reject the request.
    pub server: Arc<str>,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Name of the caller's workspace.
    pub workspace: Option<Arc<str>>,
    /// Last event that was passed on, if the stream goes on after it.
    pub last_event: Option<u64>,
    /// Rank among requests, 0 first.
    pub priority: u32,
    /// Weights that the engine must have, and the scope of its cached parts.
    pub weights: Option<ExpectedWeights>,
    /// Engine from which missing parts can be taken.
    pub fetch_from: Option<SocketAddr>,
    /// Store to which the engine sends the parts of the prompt that it has read.
    pub save_to: Option<SocketAddr>,
    /// Length of the body, none for a request without one.
    pub body_len: Option<usize>,
}

/// Weights that an engine must have.
#[derive(Clone, Debug)]
pub struct ExpectedWeights {
    /// Version.
    pub version: u64,
    /// Scope within which parts are shared.
    pub scope: String,
}

/// What an answer's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub request: Option<String>,
    /// Whether the backend server says that it did not and will not run the request.
    pub not_run: bool,
    /// Id of the backend server that answers, where it names itself.
    pub server: Option<String>,
    /// Whether it bears the backend server's signature.
    pub signed: bool,
    /// Version of the weights that made it.
    pub weights: Option<u64>,
    /// Time for which the connection may be reused once idle, in milliseconds.
    pub keep_alive_ms: Option<u64>,
}

/// Reads and writes heads.
pub trait Codec {
    /// Reads a request's head.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, BadHead>;

    /// Writes the headers of a request for a backend server.
    fn forwarded_headers(&self, head: &request::Parts, send: &ForwardHead) -> HeaderMap;

    /// Reads an answer's head.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers of an answer that reach the caller.
    fn returned_headers(&self, head: &response::Parts) -> HeaderMap;
}
