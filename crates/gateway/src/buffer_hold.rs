//! Bytes that are held for a caller.

use crate::connection_usage::HeldFor;
use crate::port_connections::PortConnections;
use crate::port_usage::ConnectionKey;

/// Bytes that are held for a caller; dropping it frees them.
pub struct BufferHold {
    connections: PortConnections,
    key: ConnectionKey,
    held_for: HeldFor,
    bytes: u64,
    /// Those of them that no length announced.
    unsized_bytes: u64,
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
            unsized_bytes: 0,
        }
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

    /// Holds `bytes` more bytes of a response that doesn't name its length; returns false, and holds
    /// no more, if such responses take too much together and this is not a small one.
    pub fn try_grow_unsized(&mut self, bytes: u64) -> bool {
        if !self.connections.try_grow_unsized(self.unsized_bytes, bytes) {
            return false;
        }
        self.unsized_bytes = self.unsized_bytes.saturating_add(bytes);
        self.grow(bytes);
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
        let unsized_bytes = bytes.min(self.unsized_bytes);
        self.bytes -= bytes;
        self.unsized_bytes -= unsized_bytes;
        BufferHold {
            connections: self.connections.clone(),
            key: self.key,
            held_for: self.held_for,
            bytes,
            unsized_bytes,
        }
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        self.connections
            .release(self.key, self.bytes, self.held_for);
        self.connections.release_unsized(self.unsized_bytes);
    }
}
