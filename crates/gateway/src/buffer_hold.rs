//! Bytes that are held for a caller.

use crate::connection_key::ConnectionKey;
use crate::held_for::HeldFor;
use crate::port_connections::PortConnections;
use crate::unbounded::UnboundedPart;

/// Bytes that are held for a caller; dropping it frees them.
pub struct BufferHold {
    connections: PortConnections,
    key: ConnectionKey,
    held_for: HeldFor,
    bytes: u64,
    /// Part of a response that `unbounded_bytes` of them belong to.
    part: UnboundedPart,
    unbounded_bytes: u64,
}

impl BufferHold {
    /// Holds `bytes` bytes whatever the limit.
    pub fn new(
        connections: PortConnections,
        key: ConnectionKey,
        held_for: HeldFor,
        bytes: u64,
    ) -> BufferHold {
        connections.hold(key, bytes, held_for);
        BufferHold {
            connections,
            key,
            held_for,
            bytes,
            part: UnboundedPart::Body,
            unbounded_bytes: 0,
        }
    }

    /// Counts unbounded bytes as those of an event instead of a body.
    pub fn for_events(mut self) -> BufferHold {
        self.part = UnboundedPart::Event;
        self
    }

    /// Holds `bytes` more bytes; returns false, and holds no more, if too much is held.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let has_room = self
            .connections
            .make_buffer_room(self.key, bytes, self.held_for);
        if has_room {
            self.grow(bytes);
        }
        has_room
    }

    /// Holds `bytes` more bytes of an unbounded part; returns false, and holds no more, if the share of such
    /// parts is used up and this one isn't small.
    pub fn try_grow_unbounded(&mut self, bytes: u64) -> bool {
        let has_grown = self.try_set_unbounded(self.unbounded_bytes.saturating_add(bytes));
        if has_grown {
            self.grow(bytes);
        }
        has_grown
    }

    /// Sets the number of held bytes that belong to an unbounded part; returns false, and changes nothing, if
    /// the share of such parts is used up and this one isn't small.
    pub fn try_set_unbounded(&mut self, bytes: u64) -> bool {
        let (part, held) = (self.part, self.unbounded_bytes);
        if bytes <= held {
            self.connections.release_unbounded(part, held - bytes);
        } else if !self
            .connections
            .try_grow_unbounded(part, held, bytes - held)
        {
            return false;
        }
        self.unbounded_bytes = bytes;
        true
    }

    /// Holds `bytes` more bytes whatever the limit.
    pub fn grow(&mut self, bytes: u64) {
        self.connections.hold(self.key, bytes, self.held_for);
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Holds `bytes` bytes from now on, whatever the limit.
    pub fn set(&mut self, bytes: u64) {
        if bytes > self.bytes {
            self.grow(bytes - self.bytes);
        } else {
            self.connections
                .release(self.key, self.bytes - bytes, self.held_for);
            self.bytes = bytes;
        }
    }

    /// Returns a hold of up to `bytes` of its bytes, which it no longer holds itself.
    pub fn split(&mut self, bytes: u64) -> BufferHold {
        let bytes = bytes.min(self.bytes);
        let unbounded_bytes = bytes.min(self.unbounded_bytes);
        self.bytes -= bytes;
        self.unbounded_bytes -= unbounded_bytes;
        BufferHold {
            connections: self.connections.clone(),
            key: self.key,
            held_for: self.held_for,
            bytes,
            part: self.part,
            unbounded_bytes,
        }
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        self.connections
            .release(self.key, self.bytes, self.held_for);
        self.connections
            .release_unbounded(self.part, self.unbounded_bytes);
    }
}
