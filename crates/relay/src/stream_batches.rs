//! Streams that are written to the store in batches, so that their builds are known after all
//! routers were killed.

use std::collections::HashMap;
use std::collections::VecDeque;

use policy::Time;

use crate::Build;
use crate::StreamId;
use crate::StreamOrigin;

/// Time for which a stream is worth writing, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// Maximum number of streams that wait to be written.
const MAX_PENDING: usize = 20_000;

/// Time for which streams are added to a batch that was written, in milliseconds.
const BATCH_MS: u64 = 1_000;

/// Number of streams from which on a batch is written no more: each write repeats all of them.
const FULL_BATCH: usize = 128;

/// Maximum number of streams of a batch.
const MAX_BATCH: usize = 2_000;

/// Pause after a write that failed, in milliseconds.
const RETRY_PAUSE_MS: u64 = 1_000;

/// Streams to be written as one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamBatch {
    /// Number of the record; a later batch of the same number replaces it.
    pub number: u64,
    /// The streams.
    pub streams: Vec<StreamOrigin>,
}

#[derive(Clone, Debug)]
struct PendingStream {
    origin: StreamOrigin,
    until: Time,
}

#[derive(Clone, Debug)]
struct OpenBatch {
    batch: StreamBatch,
    ends_at: Time,
    is_written: bool,
}

impl OpenBatch {
    fn is_over(&self, now: Time) -> bool {
        self.is_written && (now >= self.ends_at || self.batch.streams.len() >= FULL_BATCH)
    }
}

/// Streams that one router writes to the store.
#[derive(Clone, Debug, Default)]
pub struct StreamBatches {
    pending: VecDeque<PendingStream>,
    open: Option<OpenBatch>,
    next_number: u64,
    next_write_at: Time,
}

impl StreamBatches {
    /// Adds a stream to be written.
    pub fn add(&mut self, now: Time, origin: StreamOrigin) {
        let until = now.plus_millis(KEPT_MS);
        self.pending.push_back(PendingStream { origin, until });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Returns when the next batch may be written; none if there is nothing to write.
    pub fn next_due(&self) -> Option<Time> {
        let is_unwritten = self.open.as_ref().is_some_and(|open| !open.is_written);
        (is_unwritten || !self.pending.is_empty()).then_some(self.next_write_at)
    }

    /// Returns the next batch if one is due. Batches are at least `interval_ms` apart.
    pub fn next(&mut self, now: Time, interval_ms: u64) -> Option<StreamBatch> {
        self.remove_expired(now);
        self.next_due().filter(|due| *due <= now)?;
        self.open.take_if(|open| open.is_over(now));
        let open = self.open.get_or_insert_with(|| {
            self.next_number += 1;
            OpenBatch {
                batch: StreamBatch {
                    number: self.next_number,
                    streams: Vec::new(),
                },
                ends_at: now.plus_millis(BATCH_MS),
                is_written: false,
            }
        });
        let room = MAX_BATCH.saturating_sub(open.batch.streams.len());
        let added = self.pending.drain(..room.min(self.pending.len()));
        open.batch.streams.extend(added.map(|stream| stream.origin));
        open.is_written = false;
        self.next_write_at = now.plus_millis(interval_ms);
        Some(open.batch.clone())
    }

    /// Records whether the last batch was written.
    pub fn record_outcome(&mut self, now: Time, is_written: bool) {
        if let Some(open) = &mut self.open {
            open.is_written = is_written;
        }
        if !is_written {
            self.next_write_at = now.plus_millis(RETRY_PAUSE_MS);
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while self.pending.front().is_some_and(|s| s.until <= now) {
            self.pending.pop_front();
        }
    }
}

/// Streams that the store has, as of its last reading.
#[derive(Clone, Debug, Default)]
pub struct StoredStreams {
    /// The build of each stream; none for one of which records contradict each other.
    by_stream: HashMap<StreamId, Option<Build>>,
}

impl StoredStreams {
    /// Adds a stream that the store has.
    pub fn add(&mut self, origin: StreamOrigin) {
        let build = self
            .by_stream
            .entry(origin.stream)
            .or_insert(Some(origin.build));
        if *build != Some(origin.build) {
            *build = None;
        }
    }

    /// Returns the build of a stream, if it is certain.
    pub fn build(&self, stream: StreamId) -> Option<Build> {
        self.by_stream.get(&stream).copied().flatten()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether the store has none.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }
}
