//! What an attempt takes of its workspace's quota.

use std::cell::Cell;
use std::rc::Rc;

use relay::QuotaSpend;

use crate::clock::now;
use crate::context::Context;

/// What an attempt takes of its workspace's quota. Dropping it before the attempt is sent gives it
/// back.
pub struct SpentQuota {
    cx: Rc<Context>,
    spend: QuotaSpend,
    is_sent: Cell<bool>,
}

impl SpentQuota {
    /// Wraps what the ledger has spent for an attempt that isn't sent yet.
    pub fn new(cx: Rc<Context>, spend: QuotaSpend) -> SpentQuota {
        SpentQuota {
            cx,
            spend,
            is_sent: Cell::new(false),
        }
    }

    /// Records that the attempt is sent, and counts from now on.
    pub fn record_sent(&self) {
        self.is_sent.set(true);
    }

    /// Gives it back, as the server rejected the attempt or nothing of it was sent.
    pub fn refund(self) {
        self.is_sent.set(false);
    }
}

impl Drop for SpentQuota {
    fn drop(&mut self) {
        if self.is_sent.get() {
            return;
        }
        let units = self.spend.units as f64;
        self.cx.metrics.quotas.units_refunded.inc_by(units);
        let ledger = &mut self.cx.quotas.ledger.borrow_mut();
        ledger.refund(now(), self.spend);
    }
}
