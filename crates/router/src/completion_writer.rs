//! Response bodies of the completion and chat completion APIs.

use serde::Serialize;

use crate::CompletionApi;
use crate::Token;

/// Writes the response of one call in the JSON shape of the caller's API.
#[derive(Clone, Debug)]
pub struct CompletionWriter {
    api: CompletionApi,
    id: String,
    created: u64,
    model: String,
}

/// Number of tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt tokens and generated tokens.
    pub total_tokens: u64,
    /// Breakdown of the prompt tokens.
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PromptTokensDetails {
    /// Number of prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
}

#[derive(Serialize)]
struct Envelope<'a, T> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [T; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Serialize)]
struct MessageChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

const ASSISTANT: &str = "assistant";
const STOP: &str = "stop";

impl CompletionWriter {
    /// Creates a writer of response `id`; `created` is in seconds since the Unix epoch.
    pub fn new(api: CompletionApi, id: String, created: u64, model: String) -> CompletionWriter {
        CompletionWriter {
            api,
            id,
            created,
            model,
        }
    }

    /// Appends the JSON chunk of one streamed token to `buf`.
    pub fn write_chunk(&self, token: &Token, buf: &mut Vec<u8>) {
        let finish_reason = token.last.then_some(STOP);
        match self.api {
            CompletionApi::Completion => {
                let choice = TextChoice {
                    index: 0,
                    text: &token.text,
                    finish_reason,
                };
                self.write("text_completion", choice, None, buf);
            }
            CompletionApi::Chat => {
                let delta = Delta {
                    role: (token.position == 0).then_some(ASSISTANT),
                    content: &token.text,
                };
                let choice = DeltaChoice {
                    index: 0,
                    delta,
                    finish_reason,
                };
                self.write("chat.completion.chunk", choice, None, buf);
            }
        }
    }

    /// Returns the JSON of a complete, non-streamed response.
    pub fn response_json(&self, text: &str, usage: Usage) -> Vec<u8> {
        let mut buf = Vec::new();
        let finish_reason = Some(STOP);
        match self.api {
            CompletionApi::Completion => {
                let choice = TextChoice {
                    index: 0,
                    text,
                    finish_reason,
                };
                self.write("text_completion", choice, Some(usage), &mut buf);
            }
            CompletionApi::Chat => {
                let message = Message {
                    role: ASSISTANT,
                    content: text,
                };
                let choice = MessageChoice {
                    index: 0,
                    message,
                    finish_reason,
                };
                self.write("chat.completion", choice, Some(usage), &mut buf);
            }
        }
        buf
    }

    fn write<T>(&self, object: &'static str, choice: T, usage: Option<Usage>, buf: &mut Vec<u8>)
    where
        T: Serialize,
    {
        let envelope = Envelope {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_writer(buf, &envelope).expect("a response serializes to JSON");
    }
}
