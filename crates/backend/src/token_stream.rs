//! Reads the events of a generation from its HTTP response.

use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::call_context::CallContext;
use crate::connection_pool::Exchange;
use crate::connection_pool::PooledConnection;
use crate::event_reader::EventReader;
use crate::wire::StreamEvent;
use crate::Chunk;
use crate::Generation;
use crate::Result;

/// Time for the body to end after the last token; a slower connection is closed, not reused.
const END_TIMEOUT: Duration = Duration::from_millis(500);

/// Event stream of one generation; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct TokenStream {
    cx: CallContext,
    body: Incoming,
    events: EventReader,
    connection: PooledConnection,
}

impl TokenStream {
    /// Creates a reader of the body of a successful response.
    pub(crate) fn new(cx: CallContext, exchange: Exchange) -> TokenStream {
        TokenStream {
            cx,
            body: exchange.response.into_body(),
            events: EventReader::default(),
            connection: exchange.connection,
        }
    }

    /// Waits for the first event and returns the generation.
    pub(crate) async fn start(mut self) -> Result<Generation> {
        match self.next_event().await? {
            StreamEvent::Started(started) => Ok(Generation {
                started: started.into(),
                chunks: stream::unfold(Some(self), next_item).boxed(),
            }),
            StreamEvent::Token(_) => Err(self.cx.broken("token before the start")),
        }
    }

    async fn next_chunk(&mut self) -> Result<Chunk> {
        match self.next_event().await? {
            StreamEvent::Token(token) => Ok(token.into()),
            StreamEvent::Started(_) => Err(self.cx.broken("second start")),
        }
    }

    async fn next_event(&mut self) -> Result<StreamEvent> {
        loop {
            if let Some(data) = self.events.next_data() {
                return serde_json::from_slice(&data).map_err(|e| self.cx.broken(e));
            }
            let body_bytes = self.next_body_bytes().await?;
            if !self.events.push(&body_bytes) {
                return Err(self.cx.broken("event too large"));
            }
        }
    }

    async fn next_body_bytes(&mut self) -> Result<Bytes> {
        match self.body.frame().await {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(e)) => Err(self.cx.broken(e)),
            None => Err(self.cx.broken("ended before the last token")),
        }
    }

    /// Returns the connection to the pool if the body ends in time.
    async fn finish(mut self) {
        if let Ok(None) = timeout(END_TIMEOUT, self.body.frame()).await {
            self.connection.return_to_pool();
        }
    }
}

/// Reads the next token. The stream in the result is `None` after the last token or an error,
/// which ends the sequence.
async fn next_item(tokens: Option<TokenStream>) -> Option<(Result<Chunk>, Option<TokenStream>)> {
    let mut tokens = tokens?;
    let item = tokens.next_chunk().await;
    match &item {
        Ok(chunk) if !chunk.last => return Some((item, Some(tokens))),
        Ok(_) => drop(tokio::spawn(tokens.finish())),
        Err(_) => drop(tokens),
    }
    Some((item, None))
}
