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

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// What was said at the start, none while it waits.
    pub started: Option<Started>,
    /// Position after the last token produced.
    pub produced: u32,
    /// Whether it was given up.
    pub cancelled: bool,
}

/// One stream, which readers may leave and come back to.
#[derive(Debug)]
pub(crate) struct EngineStream {
    /// Name.
    pub name: String,
    /// Hash of its prompt.
    pub prompt: PromptHash,
    /// Tokens of the whole answer.
    pub tokens: u32,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

#[derive(Debug)]
struct Readers {
    attached: u32,
    grace: Duration,
    expires_at: Instant,
}

/// A reader of a stream.
#[derive(Debug)]
pub(crate) struct StreamReader {
    stream: Arc<EngineStream>,
    progress: watch::Receiver<Progress>,
}

impl EngineStream {
    /// Creates a stream that waits and whose first token is to be at `position`.
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

    /// Starts to read.
    pub(crate) fn attach(self: &Arc<EngineStream>) -> StreamReader {
        self.readers().attached += 1;
        StreamReader {
            stream: Arc::clone(self),
            progress: self.progress.subscribe(),
        }
    }

    /// Returns how far it has come.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Marks it as running.
    pub(crate) fn mark_started(&self, started: Started) {
        self.progress
            .send_modify(|progress| progress.started = Some(started));
    }

    /// Produces one token; `true` once it has ended.
    pub(crate) fn produce(&self) -> bool {
        self.progress.send_modify(|progress| progress.produced += 1);
        self.has_ended()
    }

    /// Gives it up.
    pub(crate) fn cancel(&self) {
        self.progress
            .send_modify(|progress| progress.cancelled = true);
    }

    /// Tells whether nothing more comes.
    pub(crate) fn has_ended(&self) -> bool {
        let progress = self.progress();
        progress.cancelled || progress.produced >= self.tokens
    }

    /// Tells whether nobody has read it for the period of grace.
    pub(crate) fn is_abandoned(&self) -> bool {
        let readers = self.readers();
        readers.attached == 0 && readers.expires_at <= Instant::now()
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamReader {
    /// Returns the stream.
    pub(crate) fn stream(&self) -> &EngineStream {
        &self.stream
    }

    /// Waits for the start; none if the stream was given up before.
    pub(crate) async fn wait_for_start(&mut self) -> Option<Started> {
        let progress = self
            .progress
            .wait_for(|progress| progress.cancelled || progress.started.is_some())
            .await;
        progress.ok()?.started
    }

    /// Waits for the token at `position` and returns the position after the
    /// last one that is there; none after the stream's end.
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
