//! Memory that a request and its response take, counted until neither is needed any more.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use backend::ResponseMemory;
use gateway::ConnectionKey;
use gateway::HeldFor;

use crate::connections::Connections;

/// Bytes that a response which arrives in small pieces counts at once.
const STEP_BYTES: u64 = 4 << 10;

/// Memory that a request and its response take. It counts until the last owner drops it: the connection
/// of the caller, or the task of the request.
pub struct RequestHold {
    connections: Connections,
    key: ConnectionKey,
    request_bytes: AtomicU64,
    response_bytes: AtomicU64,
    /// Bytes of the response that are counted and not used yet.
    spare_bytes: AtomicU64,
}

impl RequestHold {
    /// Returns the hold of a new request on a connection.
    pub fn new(connections: Connections, key: ConnectionKey) -> RequestHold {
        RequestHold {
            connections,
            key,
            request_bytes: AtomicU64::new(0),
            response_bytes: AtomicU64::new(0),
            spare_bytes: AtomicU64::new(0),
        }
    }

    /// Counts `bytes` more bytes. Returns false, and counts none, if there is no room for them after
    /// evicting other connections.
    pub fn try_grow(&self, bytes: u64, held_for: HeldFor) -> bool {
        let has_grown = self.connections.try_hold(self.key, bytes, held_for);
        if has_grown {
            self.counter(held_for).fetch_add(bytes, Ordering::Relaxed);
        }
        has_grown
    }

    /// Counts `bytes` more bytes of the response like [`RequestHold::try_grow`], in larger steps.
    pub fn try_grow_response(&self, bytes: u64) -> bool {
        let take = |spare: u64| spare.checked_sub(bytes);
        let spare_bytes = &self.spare_bytes;
        let took = spare_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if took.is_ok() {
            return true;
        }
        let step = bytes.max(STEP_BYTES);
        let has_grown = self.try_grow(step, HeldFor::Response);
        if has_grown {
            spare_bytes.fetch_add(step - bytes, Ordering::Relaxed);
        }
        has_grown
    }

    /// Counts `bytes` more bytes whatever the limit.
    pub fn grow(&self, bytes: u64, held_for: HeldFor) {
        self.connections.hold(self.key, bytes, held_for);
        self.counter(held_for).fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts `bytes` fewer bytes, which were counted before.
    pub fn shrink(&self, bytes: u64, held_for: HeldFor) {
        self.counter(held_for).fetch_sub(bytes, Ordering::Relaxed);
        self.connections.release(self.key, bytes, held_for);
    }

    fn counter(&self, held_for: HeldFor) -> &AtomicU64 {
        match held_for {
            HeldFor::Request => &self.request_bytes,
            HeldFor::Response => &self.response_bytes,
        }
    }
}

impl ResponseMemory for RequestHold {
    fn try_grow(&self, bytes: u64) -> bool {
        RequestHold::try_grow(self, bytes, HeldFor::Response)
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        for held_for in [HeldFor::Request, HeldFor::Response] {
            let bytes = self.counter(held_for).load(Ordering::Relaxed);
            self.connections.release(self.key, bytes, held_for);
        }
    }
}
