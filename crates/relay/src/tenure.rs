//! For how long this router may give orders to engines.

use policy::Time;

/// The lease under which one router orders, as that router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Fencing token of this tenure; later tenures have higher ones.
    pub fence: u64,
    /// From when orders are allowed: an earlier holder's last ones are over.
    pub from: Time,
    /// Until when the lease holds at least, counted from before its last renewal was sent.
    pub until: Time,
}

impl LeaseTerm {
    /// Tells whether an order may be sent now that is answered by `now` + `call_ms`.
    pub fn allows(&self, now: Time, call_ms: u64) -> bool {
        now >= self.from && now.plus_millis(call_ms) < self.until
    }

    /// Extends the tenure by a renewal that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Time, ttl_ms: u64) {
        self.until = self.until.max(sent_at.plus_millis(ttl_ms));
    }
}
