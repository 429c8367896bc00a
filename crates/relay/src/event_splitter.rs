//! Cuts a stream's bytes into whole events and checks their order.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// Largest event, in bytes; a longer one is no event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Why a stream's bytes can't be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SplitError {
    /// An event is too long.
    #[snafu(display("an event has more than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
    /// An event's id doesn't follow the one before.
    #[snafu(display("event {id} comes after event {last}"))]
    OutOfOrder {
        /// Id of the event.
        id: u64,
        /// Id of the event before.
        last: u64,
    },
}

/// Cuts one stream, which may come in several runs, into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    last: Option<u64>,
}

impl EventSplitter {
    /// Begins a stream that goes on after event `last`, if there was one.
    pub fn resume_after(last: Option<u64>) -> EventSplitter {
        EventSplitter {
            last,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, SplitError> {
        let Some(end) = self.find_end() else {
            if self.buf.len() > MAX_EVENT_BYTES {
                return TooLongSnafu.fail();
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        self.check(id)?;
        Ok(Some(StreamEvent { bytes, id }))
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Tells whether bytes are left that end in the middle of an event.
    pub fn has_partial_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Drops the rest of a run that broke off; the next run goes on after the last whole event.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let at = (from..self.buf.len()).find_map(|i| {
            let rest = &self.buf[i..];
            if rest.starts_with(b"\n\n") {
                Some(i + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(i + 3)
            } else {
                None
            }
        });
        self.scanned = self.buf.len();
        at
    }

    fn check(&mut self, id: Option<u64>) -> Result<(), SplitError> {
        let Some(id) = id else {
            return Ok(());
        };
        if let Some(last) = self.last {
            if id <= last {
                return OutOfOrderSnafu { id, last }.fail();
            }
        }
        self.last = Some(id);
        Ok(())
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
