//! Splits a byte stream into events and checks the order of their ids.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;

/// Maximum number of bytes that are buffered without the end of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Id of the event, if it has one.
    pub id: Option<u64>,
}

/// Reason why a stream can't be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SplitError {
    /// An event exceeds the maximum size.
    #[snafu(display("event exceeds {MAX_EVENT_BYTES} bytes"))]
    TooLong,
    /// The id of an event isn't higher than the previous one.
    #[snafu(display("event id {id} is not higher than the previous id {last}"))]
    OutOfOrder {
        /// Id of the event.
        id: u64,
        /// Id of the previous event.
        last: u64,
    },
    /// A response that is to resume the stream begins with an event without an id.
    #[snafu(display("event without an id after event {last} of another response"))]
    NoId {
        /// Id of the last event of the response before.
        last: u64,
    },
}

/// Splits one stream into events. The stream may arrive in several responses, each
/// resuming after the last complete event of the one before.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes received that are not part of a returned event.
    buf: BytesMut,
    /// Number of bytes of `buf` in which no event ends.
    scanned: usize,
    /// Id of the last complete event.
    last: Option<u64>,
    /// Whether the next event must show by its id that the response resumes the stream.
    needs_id: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after event `last`, if there was one.
    pub fn resume_after(last: Option<u64>) -> EventSplitter {
        EventSplitter {
            last,
            ..EventSplitter::default()
        }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.buf.is_empty() {
            // Frees the memory of earlier events.
            self.buf = BytesMut::with_capacity(bytes.len());
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, SplitError> {
        let Some(end) = self.find_event_end() else {
            if self.buf.len() > MAX_EVENT_BYTES {
                return TooLongSnafu.fail();
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        if !is_comment(&bytes) {
            self.check_order(id)?;
        }
        Ok(Some(StreamEvent { bytes, id }))
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many bytes were received that belong to no returned event.
    pub fn buffered_bytes(&self) -> u64 {
        self.buf.len() as u64
    }

    /// Returns whether bytes were received that belong to no returned event.
    pub fn has_partial_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Discards an incomplete event when a response breaks off. The next response resumes
    /// after the last complete event, which the id of its first event must show.
    pub fn begin_next_response(&mut self) {
        self.buf.clear();
        self.scanned = 0;
        self.needs_id = self.last.is_some();
    }

    fn find_event_end(&mut self) -> Option<usize> {
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

    fn check_order(&mut self, id: Option<u64>) -> Result<(), SplitError> {
        let Some(id) = id else {
            return match self.last {
                Some(last) if self.needs_id => NoIdSnafu { last }.fail(),
                _ => Ok(()),
            };
        };
        self.needs_id = false;
        if let Some(last) = self.last {
            if id <= last {
                return OutOfOrderSnafu { id, last }.fail();
            }
        }
        self.last = Some(id);
        Ok(())
    }
}

/// Returns whether an event consists of comments, such as those that keep connections open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
