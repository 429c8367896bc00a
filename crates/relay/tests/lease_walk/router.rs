//! A router in the walk: its order lease, and what it knows of the store.

use policy::Time;
use relay::OrderLease;

use super::state::after;
use super::state::now;
use super::state::steps_from_now;
use super::Fault;
use super::Walk;

/// A call that a router waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The lease is taken.
    Take,
    /// The lease is renewed.
    Renew,
}

/// A call that a router waits for, and what the store did.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub kind: Awaited,
    pub sent_at: Time,
    /// The fencing token, once the store has executed the call; only a take-over returns one.
    pub executed: Option<u64>,
    /// Whether an era has begun since it was executed.
    pub is_of_earlier_era: bool,
}

/// What a router knows of the store's era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Era {
    /// It has started, and had no response yet.
    Unknown,
    /// It knows an earlier one.
    Earlier,
    /// It has noted the present one at this time; 0 if long ago.
    Noted(Time),
}

#[derive(Clone, Copy, Debug)]
pub struct Router {
    pub order_lease: OrderLease,
    pub is_stopping: bool,
    pub call: Option<Call>,
    pub era: Era,
    /// When its latest order is over; 0 if that is long ago.
    pub orders_until: Time,
    /// Whether a higher fencing token than that of its term has reached an engine.
    pub is_superseded: bool,
}

impl Router {
    pub fn new() -> Router {
        Router {
            order_lease: OrderLease::default(),
            is_stopping: false,
            call: None,
            era: Era::Noted(Time::default()),
            orders_until: Time::default(),
            is_superseded: false,
        }
    }

    /// Returns the fencing token of its term, or of the take-over that it waits for; 0 if there is none.
    pub fn fence(&self) -> u64 {
        match (self.order_lease, self.call) {
            (OrderLease::Holding { term, .. }, _) => term.fence,
            (_, Some(call)) => call.executed.unwrap_or(0),
            _ => 0,
        }
    }

    pub fn set_fence(&mut self, fence: u64) {
        if let OrderLease::Holding { term, .. } = &mut self.order_lease {
            term.fence = fence;
        } else if let Some(call) = &mut self.call {
            call.executed = call.executed.map(|_| fence);
        }
    }

    /// Returns whether it waits for a take-over.
    pub fn is_taking(&self) -> bool {
        self.call.is_some_and(|call| call.kind == Awaited::Take)
    }

    /// Changes all times.
    pub fn map_times(&mut self, map: &dyn Fn(Time) -> Time) {
        self.orders_until = map(self.orders_until);
        if let Era::Noted(since) = &mut self.era {
            *since = map(*since);
        }
        if let Some(call) = &mut self.call {
            call.sent_at = map(call.sent_at);
        }
        match &mut self.order_lease {
            OrderLease::Holding {
                term,
                orders_over_at,
            } => {
                term.from = map(term.from);
                term.until = map(term.until);
                *orders_over_at = map(*orders_over_at);
            }
            OrderLease::Ending { orders_over_at } => *orders_over_at = map(*orders_over_at),
            OrderLease::Ended | OrderLease::Unknown => {}
        }
    }

    /// Drops what decides nothing any more. `owns_record` says whether the store's record has its lease.
    pub fn reduce(&mut self, walk: Walk, owns_record: bool) {
        let is_useless = |call: &mut Call| after(call.sent_at, walk.bounds.ttl) <= now();
        self.call.take_if(is_useless);
        if walk.fault != Fault::TrustsFirstEra && self.era == Era::Unknown {
            self.era = Era::Earlier;
        }
        if let Era::Noted(since) = &mut self.era {
            if after(*since, walk.bounds.ttl) <= now() {
                *since = Time::default();
            }
        }
        if after(self.orders_until, walk.bounds.wait) <= now() {
            self.orders_until = Time::default();
        }
        let may_extend = owns_record || self.call.is_some_and(|call| call.executed.is_some());
        if let OrderLease::Holding {
            term,
            orders_over_at,
        } = &mut self.order_lease
        {
            term.from = term.from.max(now());
            if term.until < after(now(), 1) {
                term.until = now();
            }
            if *orders_over_at <= now() {
                *orders_over_at = Time::default();
            }
            if !may_extend && term.until < after(term.from, 1) {
                self.order_lease.end();
            }
        }
        if let OrderLease::Ending { orders_over_at } = &mut self.order_lease {
            *orders_over_at = (*orders_over_at).max(now());
        }
        if self.order_lease == OrderLease::Unknown {
            self.order_lease.end();
        }
        if self.order_lease == OrderLease::Ended {
            let is_taking = |call: &Call| call.kind == Awaited::Take;
            self.call = self.call.filter(is_taking);
            self.is_stopping &= self.call.is_some();
        }
        self.is_superseded &= self.fence() > 0;
    }

    /// Returns a number that no other router has that differs in anything.
    pub fn key(&self) -> u64 {
        let (phase, from, until, over_at) = match self.order_lease {
            OrderLease::Ended => (0, 0, 0, 0),
            OrderLease::Holding {
                term,
                orders_over_at,
            } => (
                1,
                steps_from_now(term.from),
                steps_from_now(term.until),
                steps_from_now(orders_over_at),
            ),
            OrderLease::Ending { orders_over_at } => (2, 0, 0, steps_from_now(orders_over_at)),
            OrderLease::Unknown => (3, 0, 0, 0),
        };
        let (kind, sent_at, executed, is_earlier) = match self.call {
            None => (0, 0, 0, 0),
            Some(call) => (
                1 + call.kind as u64,
                steps_from_now(call.sent_at),
                call.executed.map_or(0, |fence| 1 + fence),
                u64::from(call.is_of_earlier_era),
            ),
        };
        let (era, since) = match self.era {
            Era::Unknown => (0, 0),
            Era::Earlier => (1, 0),
            Era::Noted(since) => (2, steps_from_now(since)),
        };
        let flags = u64::from(self.is_stopping) * 2 + u64::from(self.is_superseded);
        let mut key = 0;
        let mut add = |field: u64, bits: u32| {
            assert!(field < 1 << bits);
            key = key << bits | field;
        };
        add(phase, 2);
        add(self.fence(), 2);
        add(from, 6);
        add(until, 6);
        add(over_at, 6);
        add(kind, 2);
        add(sent_at, 6);
        add(executed, 2);
        add(is_earlier, 1);
        add(era, 2);
        add(since, 6);
        add(flags, 2);
        add(steps_from_now(self.orders_until), 6);
        key
    }
}
