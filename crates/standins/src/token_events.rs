//! A streamed completion as its caller reads it.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::CallerError;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Data of the event that ends a whole stream.
const DONE: &str = "[DONE]";

/// A token that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenEvent {
    /// Id from which the stream can be resumed.
    pub id: String,
    /// Text.
    pub text: String,
    /// Whether it is the last one.
    pub last: bool,
}

/// A streamed completion as its caller reads it.
#[derive(Debug)]
pub struct TokenEvents {
    body: Incoming,
    buf: Vec<u8>,
    ended: bool,
}

/// What a caller has of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// Whether the last token has come.
    pub complete: bool,
}

#[derive(Debug, Default)]
struct Fields {
    id: String,
    name: String,
    data: String,
}

#[derive(Debug, Deserialize)]
struct Data {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

impl TokenEvents {
    /// Reads the body of an answer.
    pub(crate) fn new(body: Incoming) -> TokenEvents {
        TokenEvents {
            body,
            buf: Vec::new(),
            ended: false,
        }
    }

    /// Returns the next token, none after a whole stream.
    pub async fn next(&mut self) -> Option<Result<TokenEvent, CallerError>> {
        if self.ended {
            return None;
        }
        let event = self.read_event().await.transpose();
        self.ended = !matches!(event, Some(Ok(_)));
        event
    }

    /// Adds tokens to `received` until there are `tokens` of them or the stream ends.
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

    /// Adds all tokens up to the stream's end to `received`.
    pub async fn read_all(&mut self, received: &mut Received) -> Result<(), CallerError> {
        while let Some(event) = self.next().await {
            received.add(event?);
        }
        Ok(())
    }

    async fn read_event(&mut self) -> Result<Option<TokenEvent>, CallerError> {
        let fields = self.read_fields().await?;
        if fields.data == DONE {
            return Ok(None);
        }
        if fields.name == "error" {
            return Err(CallerError::refused(fields.data.as_bytes()));
        }
        let data: Data = serde_json::from_str(&fields.data).map_err(CallerError::bad_answer)?;
        let choice = data.choices.into_iter().next();
        let choice = choice.ok_or_else(|| CallerError::bad_answer("no choice"))?;
        Ok(Some(TokenEvent {
            id: fields.id,
            text: choice.text,
            last: choice.finish_reason.is_some(),
        }))
    }

    async fn read_fields(&mut self) -> Result<Fields, CallerError> {
        loop {
            if let Some(end) = find(&self.buf, EVENT_END) {
                let event: Vec<u8> = self.buf.drain(..end + EVENT_END.len()).collect();
                return Ok(Fields::parse(&event));
            }
            let part = self.read_part().await?;
            self.buf.extend_from_slice(&part);
        }
    }

    async fn read_part(&mut self) -> Result<Bytes, CallerError> {
        match self.body.frame().await {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(e)) => Err(CallerError::transport(e)),
            None => Err(CallerError::transport("ended before the last token")),
        }
    }
}

impl Fields {
    fn parse(event: &[u8]) -> Fields {
        let mut fields = Fields::default();
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

fn find(buf: &[u8], part: &[u8]) -> Option<usize> {
    buf.windows(part.len()).position(|window| window == part)
}
