//! A state of two routers and the store.

use policy::Time;
use relay::OrderLease;
use relay::MAX_ORDER_MS;

use super::router::Router;
use super::Walk;

/// The present, in steps of the clock; all times of a state are relative to it.
const NOW: u64 = 30;

pub fn now() -> Time {
    after(Time::default(), NOW)
}

/// Returns the time some steps later.
pub fn after(time: Time, steps: u64) -> Time {
    time.plus_millis(steps * MAX_ORDER_MS)
}

/// Returns a small number for a time: 0 if it is long ago.
pub fn steps_from_now(time: Time) -> u64 {
    match time.as_millis() / MAX_ORDER_MS {
        0 => 0,
        steps => steps - (NOW - 20),
    }
}

/// The record of the holder in the store.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// The router whose term, or awaited take-over, has the lease; none if its router uses it no longer.
    pub owner: Option<usize>,
    pub expiry: Time,
    /// Whether an end that names the lease is under way.
    pub is_end_sent: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct State {
    pub routers: [Router; 2],
    pub record: Option<Record>,
    /// Whether an end was sent in this era of the store, and in an earlier one.
    pub is_end_sent: bool,
    pub was_end_sent_earlier: bool,
    /// Whether the routers were exchanged in the step to this state; decides nothing.
    pub is_swapped: bool,
    /// A number that no other state has that differs in anything that decides.
    pub key: u128,
}

impl State {
    pub fn new() -> State {
        State {
            routers: [Router::new(); 2],
            record: None,
            is_end_sent: false,
            was_end_sent_earlier: false,
            is_swapped: false,
            key: 0,
        }
    }

    pub fn owns_record(&self, router: usize) -> bool {
        self.record
            .is_some_and(|record| record.owner == Some(router))
    }

    /// Leaves the record of a lease that a router uses no longer to expire.
    pub fn abandon(&mut self, router: usize) {
        if let Some(record) = self.record.as_mut().filter(|r| r.owner == Some(router)) {
            record.owner = None;
        }
    }

    /// Drops the record of a take-over of which its router doesn't know that it was executed.
    pub fn drop_take(&mut self, router: usize) {
        self.record.take_if(|record| record.owner == Some(router));
    }

    /// Forgets what a router waits for, and what it holds.
    pub fn release(&mut self, router: usize) {
        if self.routers[router].is_taking() {
            self.drop_take(router);
        }
        self.abandon(router);
    }

    pub fn end_term(&mut self, router: usize) {
        self.routers[router].order_lease.end();
        self.routers[router].call = None;
        self.abandon(router);
    }

    /// Returns the state that stands for all that differ from this one in nothing that decides.
    pub fn canonical(mut self, walk: Walk) -> State {
        for number in 0..2 {
            let was_taking = self.routers[number].is_taking();
            let owns_record = self.owns_record(number);
            self.routers[number].reduce(walk, owns_record);
            let router = self.routers[number];
            if was_taking && !router.is_taking() && !router.order_lease.is_held() {
                self.drop_take(number);
            }
            if router.order_lease == OrderLease::Ended && !router.is_taking() {
                self.abandon(number);
            }
        }
        let fences = [self.routers[0].fence(), self.routers[1].fence()];
        for number in 0..2 {
            let (own, other) = (fences[number], fences[1 - number]);
            let rank = u64::from(own > 0) + u64::from(own > 0 && other > 0 && own > other);
            self.routers[number].set_fence(rank);
        }
        let owns = [self.owns_record(0), self.owns_record(1)];
        let mut keys = self.routers.map(|router| router.key());
        self.is_swapped = (keys[0], owns[0]) > (keys[1], owns[1]);
        if self.is_swapped {
            keys.swap(0, 1);
            self.routers.swap(0, 1);
            if let Some(record) = &mut self.record {
                record.owner = record.owner.map(|owner| 1 - owner);
            }
        }
        self.key = self.key_of(keys);
        self
    }

    fn key_of(&self, routers: [u64; 2]) -> u128 {
        let record = self.record.map_or(0, |record| {
            let owner = record.owner.map_or(2, |owner| owner as u64);
            let flags = owner * 2 + u64::from(record.is_end_sent);
            1 + flags + 6 * steps_from_now(record.expiry)
        });
        let flags = u64::from(self.is_end_sent) * 2 + u64::from(self.was_end_sent_earlier);
        let routers = routers.map(u128::from);
        let store = u128::from(record << 2 | flags);
        // A router's key has 49 bits.
        (routers[0] << 49 | routers[1]) << 14 | store
    }
}
