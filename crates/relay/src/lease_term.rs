//! Term of the order lease, during which this router may give orders to engines.

use policy::Time;

/// One term of the order lease, as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Fencing token of this term; later terms have higher ones.
    pub fence: u64,
    /// Time from which orders are allowed; by then those of the previous holder are over.
    pub from: Time,
    /// Earliest time at which the lease expires, counted from the sending of its last renewal.
    pub until: Time,
}

impl LeaseTerm {
    /// Returns whether an order may be sent at `now` whose response takes up to `call_ms`.
    pub fn allows(&self, now: Time, call_ms: u64) -> bool {
        now >= self.from && now.plus_millis(call_ms) < self.until
    }

    /// Extends the term after a renewal that was sent at `sent_at` succeeded.
    pub fn renew(&mut self, sent_at: Time, ttl_ms: u64) {
        self.until = self.until.max(sent_at.plus_millis(ttl_ms));
    }
}
