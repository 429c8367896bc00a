//! Fields of request and response heads, and the trait that translates them to
//! the platform's headers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http::response;
use http::HeaderMap;
use http::Request;
use http_body_util::Full;
use relay::Brittleness;
use relay::PromptPart;
use relay::RateLimit;
use snafu::Snafu;

/// Reason why a request's head is invalid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("header {header}: {reason}"))]
pub struct BadHead {
    /// Name of the invalid header.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// Model and prompt that a request's head describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptHead {
    /// Name of the model.
    pub model: String,
    /// Parts of the prompt in order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

/// Fields read from a request's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; backend servers echo it in their response.
    pub id: String,
    /// Requested host, without its port.
    pub host: String,
    /// Caller's key, by which its workspace is found.
    pub key: Option<String>,
    /// Time for which the caller waits for the response, in milliseconds.
    pub max_wait_ms: Option<u64>,
    /// Id of the last event that the caller has received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Id of the earlier request that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
    /// Tokens that it states to use at most, prompt and output together.
    pub usage: Option<u64>,
    /// Model and prompt, if it is for a model.
    pub prompt: Option<PromptHead>,
}

/// Fields that the gateway adds to a request's head for one backend server.
#[derive(Clone, Debug)]
pub struct ForwardHead {
    /// Id of the intended backend server; any other must reject the request.
    pub server: Arc<str>,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Name of the caller's workspace.
    pub workspace: Option<Arc<str>>,
    /// Id of the last event that was passed on to the caller, in this request or an earlier
    /// one, if the stream is resumed after it.
    pub last_event: Option<u64>,
    /// Priority of the request at the engine, 0 first.
    pub priority: u32,
    /// Weights that the engine must have to run the request; none to accept any.
    pub weights: Option<ExpectedWeights>,
    /// Address of an engine or prefix store from which the engine can fetch missing prompt parts.
    pub fetch_from: Option<SocketAddr>,
    /// Address of the prefix store to which the engine sends the prompt parts that it has
    /// prefilled.
    pub save_to: Option<SocketAddr>,
    /// Length of the body in bytes; none for a request without one.
    pub body_len: Option<usize>,
}

/// Weights that an engine must have to run a request.
#[derive(Clone, Debug)]
pub struct ExpectedWeights {
    /// Version of the weights.
    pub version: u64,
    /// Scope within which requests share cached prompt parts.
    pub scope: String,
}

/// Time for which a backend server wants no other request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// Time in milliseconds.
    Millis(u64),
    /// A value that is no time.
    Invalid,
}

/// Limit that a backend server names on the requests of all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedLimit {
    /// The limit, the lowest if there are several; none if no value is a rate.
    pub limit: Option<RateLimit>,
    /// Whether a value was no rate, out of range, or contradicted by another.
    pub is_doubtful: bool,
}

/// Fields read from a response's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it responds to.
    pub request: Option<String>,
    /// Whether it states that the backend server did not and will not run the request.
    pub not_run: bool,
    /// Id of the backend server that responded, if it names itself.
    pub server: Option<String>,
    /// Whether it carries a signature header.
    pub signed: bool,
    /// Version of the weights that produced it.
    pub weights: Option<u64>,
    /// Time for which the backend server wants no other request, if it names one.
    pub retry_after: Option<RetryAfter>,
    /// Whether the backend server says that it leaves.
    pub leaving: bool,
    /// Limit on its requests that the backend server names, if any.
    pub named_limit: Option<NamedLimit>,
    /// Rejections that the backend server stands, if it names a number.
    pub brittleness: Option<Brittleness>,
    /// Keep-alive timeout that the backend server announces, in milliseconds.
    pub keep_alive_ms: Option<u64>,
}

/// Incarnation of a backend server whose health is checked.
#[derive(Clone, Debug)]
pub struct CheckedServer {
    /// Id of the server.
    pub id: Arc<str>,
    /// Start time of the incarnation by its own wall clock, in milliseconds.
    pub started_ms: u64,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Path at which it responds to health checks, if the operators name one.
    pub health_path: Option<Arc<str>>,
}

/// Translates between HTTP heads and the gateway's types.
pub trait Codec {
    /// Reads the fields of a request's head.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, BadHead>;

    /// Returns the headers with which a request is forwarded to a backend server.
    fn forwarded_headers(&self, head: &request::Parts, forward: &ForwardHead) -> HeaderMap;

    /// Reads the fields of a response's head.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns a request to which a backend server responds while it runs, without running work of
    /// callers.
    fn health_request(&self, server: &CheckedServer) -> Request<Full<Bytes>>;

    /// Returns whether a response to that request may come from the same incarnation; whether that
    /// is healthy doesn't matter.
    fn is_same_incarnation(
        &self,
        server: &CheckedServer,
        head: &response::Parts,
        body: &[u8],
    ) -> bool;

    /// Returns the headers of a response that are passed on to the caller.
    fn returned_headers(&self, head: &response::Parts) -> HeaderMap;
}
