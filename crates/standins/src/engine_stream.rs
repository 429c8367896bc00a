//! One stream of the engine stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backend::Started;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::PromptHash;

/// How much of a stream has been generated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Data of the start event; `None` before prefill.
    pub started: Option<Started>,
    /// Position after the last token produced.
    pub produced: u32,
    /// Whether the stream was cancelled.
    pub cancelled: bool,
}

/// A stream of generated tokens, whose readers may disconnect and reconnect.
#[derive(Debug)]
pub(crate) struct EngineStream {
    /// Name of the stream, unique within the engine.
    pub name: String,
    /// Hash of the prompt.
    pub prompt: PromptHash,
    /// Length of the complete stream, in tokens.
    pub tokens: u32,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

/// Number of readers, and the time at which a stream without any is abandoned.
#[derive(Debug)]
struct Readers {
    attached: u32,
    grace: Duration,
    expires_at: Instant,
}

/// A reader of a stream; the stream counts its readers.
#[derive(Debug)]
pub(crate) struct StreamReader {
    stream: Arc<EngineStream>,
    progress: watch::Receiver<Progress>,
}

impl EngineStream {
    /// Creates a stream whose first token is at `position` and which has not started.
    ///
    /// It is abandoned after `grace` without a reader.
    pub(crate) fn new(
        name: String,
        prompt: PromptHash,
        position: u32,
        tokens: u32,
        grace: Duration,
    ) -> EngineStream {
        let progress = Progress {
            produced: position,
            ..Progress::default()
        };
        let readers = Readers {
            attached: 0,
            grace,
            expires_at: Instant::now() + grace,
        };
        EngineStream {
            name,
            prompt,
            tokens,
            progress: watch::Sender::new(progress),
            readers: Mutex::new(readers),
        }
    }

    /// Adds a reader.
    pub(crate) fn attach(self: &Arc<EngineStream>) -> StreamReader {
        self.readers().attached += 1;
        StreamReader {
            stream: Arc::clone(self),
            progress: self.progress.subscribe(),
        }
    }

    /// Returns how much has been generated.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Records the start of prefill.
    pub(crate) fn mark_started(&self, started: Started) {
        self.progress
            .send_modify(|progress| progress.started = Some(started));
    }

    /// Produces one token and returns whether it was the last one.
    pub(crate) fn produce(&self) -> bool {
        self.progress.send_modify(|progress| progress.produced += 1);
        self.has_ended()
    }

    /// Cancels the stream.
    pub(crate) fn cancel(&self) {
        self.progress
            .send_modify(|progress| progress.cancelled = true);
    }

    /// Returns whether the stream is complete or cancelled.
    pub(crate) fn has_ended(&self) -> bool {
        let progress = self.progress();
        progress.cancelled || progress.produced >= self.tokens
    }

    /// Returns whether the stream has had no reader for the grace period.
    pub(crate) fn is_abandoned(&self) -> bool {
        let readers = self.readers();
        readers.attached == 0 && readers.expires_at <= Instant::now()
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamReader {
    /// Returns the stream that is read.
    pub(crate) fn stream(&self) -> &EngineStream {
        &self.stream
    }

    /// Waits for the start and returns its data; `None` if the stream was cancelled before.
    pub(crate) async fn wait_for_start(&mut self) -> Option<Started> {
        let progress = self
            .progress
            .wait_for(|progress| progress.cancelled || progress.started.is_some())
            .await;
        progress.ok()?.started
    }

    /// Waits for the token at `position` and returns the position after the last token produced.
    ///
    /// Returns `None` once the stream has ended.
    pub(crate) async fn wait_for_token(&mut self, position: u32) -> Option<u32> {
        if position >= self.stream.tokens {
            return None;
        }
        let progress = self
            .progress
            .wait_for(|progress| progress.cancelled || progress.produced > position)
            .await;
        let produced = progress.ok()?.produced;
        (produced > position).then_some(produced)
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        let mut readers = self.stream.readers();
        readers.attached -= 1;
        readers.expires_at = Instant::now() + readers.grace;
    }
}
