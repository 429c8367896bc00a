//! The order lease as one router sees it: whether it may order engines, and when it may give the lease back.
//!
//! The next holder counts from the end of the lease in the store. So the authority to order ends first, then the
//! orders that were sent are over, and only then the store is asked to end the lease, whatever becomes of its
//! answer. Without that call the term ends before the lease does.

use policy::Time;

/// Upper bound on the time of an order from the moment at which it is decided on to its response, in
/// milliseconds.
pub const MAX_ORDER_MS: u64 = 400;

/// One term of the order lease, as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// Fencing token of this term; later terms have higher ones.
    pub fence: u64,
    /// Time from which orders are allowed; by then those of the previous holder are over.
    pub from: Time,
    /// Earliest time at which the lease expires, counted from the sending of its last renewal.
    pub until: Time,
}

impl LeaseTerm {
    fn allows(&self, now: Time) -> bool {
        now >= self.from && now.plus_millis(MAX_ORDER_MS) < self.until
    }
}

/// Time until orders of an earlier lease term are over if engines check fencing tokens, in milliseconds.
const FENCED_WAIT_MS: u64 = 200;

/// What bounds the orders of two holders.
#[derive(Clone, Copy, Debug)]
pub struct LeaseBounds {
    /// Whether engines check fencing tokens.
    pub fenced: bool,
    /// Time to live of the lease, in milliseconds.
    pub ttl_ms: u64,
    /// Least time between the orders of two holders, in milliseconds.
    pub holder_gap_ms: u64,
}

/// What a router knows of the beginning of the store's present era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraStart {
    /// When it first noted the era; none if the store names no eras.
    pub noted_at: Option<Time>,
    /// Whether it knew an earlier era, so that the present one began while it ran.
    pub knew_earlier: bool,
}

impl LeaseBounds {
    /// Returns from when on a router that has taken the lease at `now` may give orders.
    ///
    /// The store may have lost the lease of an earlier holder, who orders until that would have expired: up to one
    /// time to live after the store's era has begun. A router that has just started doesn't know when that
    /// was. Engines that check fencing tokens reject these orders.
    pub fn first_order_at(&self, now: Time, era: EraStart) -> Time {
        let wait_ms = match self.fenced {
            true => FENCED_WAIT_MS,
            false => self.holder_gap_ms,
        };
        let first_at = now.plus_millis(wait_ms);
        let lost_term_until =
            era.noted_at
                .and_then(|noted_at| match (self.fenced, era.knew_earlier) {
                    (false, _) => Some(noted_at.plus_millis(self.ttl_ms)),
                    (true, true) => Some(noted_at),
                    (true, false) => None,
                });
        match lost_term_until {
            Some(until) => first_at.max(until.plus_millis(self.holder_gap_ms)),
            None => first_at,
        }
    }
}

/// What a router knows of its order lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum OrderLease {
    /// It has none.
    #[default]
    Ended,
    /// It holds the lease, and gives orders in its term.
    Holding {
        /// Its term.
        term: LeaseTerm,
        /// When its latest order is over; 0 before the first.
        orders_over_at: Time,
    },
    /// It gives no orders any more, and holds the lease until its latest one is over.
    Ending {
        /// When that is.
        orders_over_at: Time,
    },
    /// It has asked the store to end the lease. Whether that was done isn't known.
    Unknown,
}

impl OrderLease {
    /// Returns whether it holds the lease, and gives orders in its term.
    pub fn is_held(&self) -> bool {
        matches!(self, OrderLease::Holding { .. })
    }

    /// Returns whether an order may be given at `now`.
    pub fn allows_orders(&self, now: Time) -> bool {
        match self {
            OrderLease::Holding { term, .. } => term.allows(now),
            OrderLease::Ended | OrderLease::Ending { .. } | OrderLease::Unknown => false,
        }
    }

    /// Begins a term after the lease was taken.
    pub fn begin(&mut self, term: LeaseTerm) {
        *self = OrderLease::Holding {
            term,
            orders_over_at: Time::default(),
        };
    }

    /// Begins an order, if one is allowed. Returns the fencing token that it carries.
    pub fn begin_order(&mut self, now: Time) -> Option<u64> {
        match self {
            OrderLease::Holding {
                term,
                orders_over_at,
            } if term.allows(now) => {
                *orders_over_at = now.plus_millis(MAX_ORDER_MS);
                Some(term.fence)
            }
            _ => None,
        }
    }

    /// Extends the term by a renewal for `ttl_ms` milliseconds that was sent at `sent_at` and succeeded.
    pub fn renew(&mut self, sent_at: Time, ttl_ms: u64) {
        if let OrderLease::Holding { term, .. } = self {
            term.until = term.until.max(sent_at.plus_millis(ttl_ms));
        }
    }

    /// Returns whether the term is over, as the lease was not renewed in time.
    pub fn is_expired(&self, now: Time) -> bool {
        match self {
            OrderLease::Holding { term, .. } => term.until <= now,
            OrderLease::Ended | OrderLease::Ending { .. } | OrderLease::Unknown => true,
        }
    }

    /// Gives no more orders, so that the lease can be given back. Returns from when on it may be; none if it
    /// isn't held.
    pub fn begin_end(&mut self) -> Option<Time> {
        let OrderLease::Holding { orders_over_at, .. } = *self else {
            return None;
        };
        *self = OrderLease::Ending { orders_over_at };
        Some(orders_over_at)
    }

    /// Records that the store is asked to end the lease at `now`. Returns false, and records nothing, if it may
    /// not be: orders may be under way, or the lease is not this router's any more.
    pub fn send_end(&mut self, now: Time) -> bool {
        let may_send = match *self {
            OrderLease::Ending { orders_over_at } => orders_over_at <= now,
            OrderLease::Ended | OrderLease::Holding { .. } | OrderLease::Unknown => false,
        };
        if may_send {
            *self = OrderLease::Unknown;
        }
        may_send
    }

    /// Records that the lease is over: the store has said so, or it has expired, or a newer holder gives
    /// orders. Returns whether it was held.
    pub fn end(&mut self) -> bool {
        let was_held = self.is_held();
        *self = OrderLease::Ended;
        was_held
    }
}
