//! Incremental parser of server-sent events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes. An event carries the text of a few tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the field that carries an event's data.
const DATA_FIELD: &[u8] = b"data: ";

/// Splits a body that arrives in arbitrary pieces into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buf: BytesMut,
    /// Bytes of `buf` already searched for the end of an event.
    searched_bytes: usize,
}

impl EventReader {
    /// Appends bytes of the body. Returns `false` if more than `MAX_EVENT_BYTES` were already
    /// buffered, which after `next_data` returned `None` belong to one incomplete event.
    pub(crate) fn push(&mut self, body_bytes: &Bytes) -> bool {
        self.buf.extend_from_slice(body_bytes);
        self.buf.len() <= MAX_EVENT_BYTES + body_bytes.len()
    }

    /// Returns the data of the next complete event, skipping events that don't begin with the
    /// data field.
    pub(crate) fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let event = self.next_event()?;
            if event.starts_with(DATA_FIELD) {
                return Some(event.slice(DATA_FIELD.len()..));
            }
        }
    }

    fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.find_end() else {
            self.searched_bytes = self.buf.len().saturating_sub(EVENT_END.len() - 1);
            return None;
        };
        let event = self.buf.split_to(end).freeze();
        self.buf.advance(EVENT_END.len());
        self.searched_bytes = 0;
        Some(event)
    }

    fn find_end(&self) -> Option<usize> {
        self.buf[self.searched_bytes..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)
            .map(|offset| self.searched_bytes + offset)
    }
}
