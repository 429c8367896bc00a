//! Bytes that this router buffers for callers and backend servers, and their limit.
//!
//! Callers and servers may read and send slowly, and what is buffered for them meanwhile counts
//! toward the memory of the VM. New requests are refused before the limit is reached; responses
//! of requests that have run are always taken in, unless they don't name their length and may have no
//! end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use prometheus::IntGauge;

/// Part of the limit up to which new requests are accepted, in percent. The rest is for the
/// responses of those that are accepted.
const REQUESTS_PERCENT: u64 = 70;

/// Part of the limit that responses that don't name their length may take together, in percent.
const UNSIZED_PERCENT: u64 = 25;

/// Bytes up to which such a response is taken in whatever the others take.
const MIN_UNSIZED_BYTES: u64 = 64 << 10;

/// Bytes that a request takes beside its body: heads, buffers of two connections, and its state.
pub const REQUEST_OVERHEAD_BYTES: u64 = 16 << 10;

/// Interval at which a response that waits for room checks for it.
pub const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts buffered bytes against a limit.
#[derive(Clone)]
pub struct BufferBudget(Rc<State>);

struct State {
    limit_bytes: u64,
    held_bytes: Cell<u64>,
    /// Those of responses that don't name their length.
    unsized_bytes: Cell<u64>,
    gauge: IntGauge,
}

/// Buffered bytes; dropping it frees them.
pub struct BufferHold {
    budget: BufferBudget,
    bytes: u64,
    /// Those of them that no length announced.
    unsized_bytes: u64,
}

impl BufferBudget {
    /// Returns a budget of `limit_bytes` bytes that shows in `gauge` what is held.
    pub fn new(limit_bytes: u64, gauge: IntGauge) -> BufferBudget {
        BufferBudget(Rc::new(State {
            limit_bytes,
            held_bytes: Cell::new(0),
            unsized_bytes: Cell::new(0),
            gauge,
        }))
    }

    /// Returns how many bytes are held.
    pub fn held_bytes(&self) -> u64 {
        self.0.held_bytes.get()
    }

    /// Returns whether a response may be taken in: what is held doesn't exceed the limit.
    pub fn has_room(&self) -> bool {
        self.held_bytes() <= self.0.limit_bytes
    }

    /// Holds the first `bytes` bytes of a new request; none if too much is held already.
    pub fn begin_request(&self, bytes: u64) -> Option<BufferHold> {
        let mut hold = self.hold(0);
        hold.try_grow(bytes).then_some(hold)
    }

    /// Holds `bytes` bytes whatever the limit.
    pub fn hold(&self, bytes: u64) -> BufferHold {
        self.add(bytes);
        BufferHold {
            budget: self.clone(),
            bytes,
            unsized_bytes: 0,
        }
    }

    fn add(&self, bytes: u64) {
        self.set(self.held_bytes().saturating_add(bytes));
    }

    fn set(&self, bytes: u64) {
        self.0.held_bytes.set(bytes);
        self.0.gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

impl BufferHold {
    /// Holds `bytes` more bytes of a request; returns false, and holds no more, if too much is held.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let limit = self.budget.0.limit_bytes / 100 * REQUESTS_PERCENT;
        if self.budget.held_bytes().saturating_add(bytes) > limit {
            return false;
        }
        self.grow(bytes);
        true
    }

    /// Holds `bytes` more bytes of a response that doesn't name its length; returns false, and holds
    /// no more, if such responses take too much together and this is not a small one.
    pub fn try_grow_unsized(&mut self, bytes: u64) -> bool {
        let state = &self.budget.0;
        let limit = state.limit_bytes / 100 * UNSIZED_PERCENT;
        let others = state.unsized_bytes.get();
        let is_small = self.unsized_bytes.saturating_add(bytes) <= MIN_UNSIZED_BYTES;
        if !is_small && others.saturating_add(bytes) > limit {
            return false;
        }
        state.unsized_bytes.set(others.saturating_add(bytes));
        self.unsized_bytes = self.unsized_bytes.saturating_add(bytes);
        self.grow(bytes);
        true
    }

    /// Holds `bytes` more bytes whatever the limit.
    pub fn grow(&mut self, bytes: u64) {
        self.budget.add(bytes);
        self.bytes = self.bytes.saturating_add(bytes);
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        let held = self.budget.held_bytes();
        self.budget.set(held.saturating_sub(self.bytes));
        let unsized_bytes = &self.budget.0.unsized_bytes;
        unsized_bytes.set(unsized_bytes.get().saturating_sub(self.unsized_bytes));
    }
}
