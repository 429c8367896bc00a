//! Events of a streamed completion, as a caller receives them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::CallerError;

/// Separator after each event.
const EVENT_END: &[u8] = b"\n\n";

/// Data of the event after the last token of a complete stream.
const DONE: &str = "[DONE]";

/// A token that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenEvent {
    /// Id of the event, from which the stream can be resumed.
    pub id: String,
    /// Text of the token.
    pub text: String,
    /// Whether it is the last token of the stream.
    pub last: bool,
}

/// Reader of the events of a streamed completion.
#[derive(Debug)]
pub struct TokenEvents {
    body: Incoming,
    buf: Vec<u8>,
    ended: bool,
}

/// The part of a stream that a caller has received, also over several connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Text of all tokens received.
    pub text: String,
    /// Number of tokens received.
    pub tokens: u32,
    /// Id of the last event received.
    pub last_id: Option<String>,
    /// Whether the last token was received.
    pub complete: bool,
}

/// Fields of a server-sent event.
#[derive(Debug, Default)]
struct EventFields {
    id: String,
    name: String,
    data: String,
}

/// JSON data of a token event.
#[derive(Debug, Deserialize)]
struct CompletionChunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

impl TokenEvents {
    /// Creates a reader of the body of a response.
    pub(crate) fn new(body: Incoming) -> TokenEvents {
        TokenEvents {
            body,
            buf: Vec::new(),
            ended: false,
        }
    }

    /// Returns the next token; `None` after the end of a complete stream or an error.
    pub async fn next(&mut self) -> Option<Result<TokenEvent, CallerError>> {
        if self.ended {
            return None;
        }
        let event = self.read_event().await.transpose();
        self.ended = !matches!(event, Some(Ok(_)));
        event
    }

    /// Adds tokens to `received` until it has `tokens` of them or the stream ends.
    pub async fn read_until(
        &mut self,
        received: &mut Received,
        tokens: u32,
    ) -> Result<(), CallerError> {
        while received.tokens < tokens {
            match self.next().await {
                Some(event) => received.add(event?),
                None => return Ok(()),
            }
        }
        Ok(())
    }

    /// Adds all tokens up to the end of the stream to `received`.
    pub async fn read_all(&mut self, received: &mut Received) -> Result<(), CallerError> {
        while let Some(event) = self.next().await {
            received.add(event?);
        }
        Ok(())
    }

    /// Reads one event; `None` for the end of a complete stream.
    async fn read_event(&mut self) -> Result<Option<TokenEvent>, CallerError> {
        let fields = self.read_fields().await?;
        if fields.data == DONE {
            return Ok(None);
        }
        if fields.name == "error" {
            return Err(CallerError::from_problem(fields.data.as_bytes()));
        }
        let data: CompletionChunk =
            serde_json::from_str(&fields.data).map_err(CallerError::invalid_response)?;
        let choice = data.choices.into_iter().next();
        let choice =
            choice.ok_or_else(|| CallerError::invalid_response("no choices in the event"))?;
        Ok(Some(TokenEvent {
            id: fields.id,
            text: choice.text,
            last: choice.finish_reason.is_some(),
        }))
    }

    async fn read_fields(&mut self) -> Result<EventFields, CallerError> {
        loop {
            if let Some(end) = find_bytes(&self.buf, EVENT_END) {
                let event: Vec<u8> = self.buf.drain(..end + EVENT_END.len()).collect();
                return Ok(EventFields::parse(&event));
            }
            let data = self.read_frame().await?;
            self.buf.extend_from_slice(&data);
        }
    }

    async fn read_frame(&mut self) -> Result<Bytes, CallerError> {
        match self.body.frame().await {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(e)) => Err(CallerError::transport(e)),
            None => Err(CallerError::transport("stream ended before the last token")),
        }
    }
}

impl EventFields {
    fn parse(event: &[u8]) -> EventFields {
        let mut fields = EventFields::default();
        for line in String::from_utf8_lossy(event).lines() {
            match line.split_once(": ") {
                Some(("id", id)) => fields.id = id.to_owned(),
                Some(("event", name)) => fields.name = name.to_owned(),
                Some(("data", data)) => fields.data = data.to_owned(),
                _ => {}
            }
        }
        fields
    }
}

impl Received {
    /// Adds a token.
    pub fn add(&mut self, event: TokenEvent) {
        self.text.push_str(&event.text);
        self.tokens += 1;
        self.last_id = Some(event.id);
        self.complete |= event.last;
    }
}

/// Returns the position of the first occurrence of `pattern`.
fn find_bytes(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len())
        .position(|window| window == pattern)
}
