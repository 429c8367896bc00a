//! Request bodies of the completion and chat completion APIs.

use serde::Deserialize;

use crate::Rejection;

/// Maximum number of generated tokens if the request doesn't set one.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Maximum number of generated tokens that a request may set.
const MAX_MAX_TOKENS: u32 = 1_000_000;

/// Maximum length of a model's name, in bytes.
const MAX_MODEL_BYTES: usize = 256;

/// API that the caller uses, which determines the JSON shape of request and response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionApi {
    /// Returns the prefix of response ids.
    pub fn id_prefix(self) -> &'static str {
        match self {
            CompletionApi::Completion => "cmpl",
            CompletionApi::Chat => "chatcmpl",
        }
    }
}

/// A completion request, the same for both APIs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// API that the caller uses.
    pub api: CompletionApi,
    /// Name of the model.
    pub model: String,
    /// Prompt text; of a chat completion, its rendered messages.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
}

#[derive(Deserialize)]
struct WireCompletion {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct WireChat {
    model: String,
    messages: Vec<WireMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct WireMessage {
    role: String,
    content: WireContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireContent {
    Text(String),
    Parts(Vec<WirePart>),
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum WirePart {
    Text { text: String },
}

impl CompletionRequest {
    /// Parses and checks a body. Unknown fields are ignored.
    pub fn parse(api: CompletionApi, body: &[u8]) -> Result<CompletionRequest, Rejection> {
        let req = match api {
            CompletionApi::Completion => parse_json::<WireCompletion>(body)?.into(),
            CompletionApi::Chat => parse_json::<WireChat>(body)?.into(),
        };
        check(&req)?;
        Ok(req)
    }
}

impl From<WireCompletion> for CompletionRequest {
    fn from(wire: WireCompletion) -> CompletionRequest {
        CompletionRequest {
            api: CompletionApi::Completion,
            model: wire.model,
            prompt: wire.prompt,
            max_tokens: wire.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: wire.stream,
        }
    }
}

impl From<WireChat> for CompletionRequest {
    fn from(wire: WireChat) -> CompletionRequest {
        let max_tokens = wire.max_completion_tokens.or(wire.max_tokens);
        CompletionRequest {
            api: CompletionApi::Chat,
            model: wire.model,
            prompt: render(&wire.messages),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: wire.stream,
        }
    }
}

impl WireContent {
    fn render(&self, prompt: &mut String) {
        match self {
            WireContent::Text(text) => prompt.push_str(text),
            WireContent::Parts(parts) => {
                for WirePart::Text { text } in parts {
                    prompt.push_str(text);
                }
            }
        }
    }
}

fn parse_json<'a, T>(body: &'a [u8]) -> Result<T, Rejection>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|e| Rejection::BadBody {
        reason: e.to_string(),
    })
}

fn check(req: &CompletionRequest) -> Result<(), Rejection> {
    let reason = match req {
        req if req.prompt.is_empty() => "the prompt is empty",
        req if req.model.is_empty() => "field `model` is empty",
        req if req.model.len() > MAX_MODEL_BYTES => "field `model` is too long",
        req if req.max_tokens == 0 => "field `max_tokens` is 0",
        req if req.max_tokens > MAX_MAX_TOKENS => "field `max_tokens` is over 1000000",
        _ => return Ok(()),
    };
    Err(Rejection::BadBody {
        reason: reason.to_owned(),
    })
}

/// Renders chat messages as one prompt. A conversation that grows by messages keeps its earlier
/// text as a prefix, so that engines can reuse their cache.
fn render(messages: &[WireMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        message.content.render(&mut prompt);
        prompt.push('\n');
    }
    prompt
}
