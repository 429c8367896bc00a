//! An exhaustive walk over two routers, the store and the network between them, with `OrderLease` itself as the
//! state of a router.
//!
//! A walk ends when no new state is left. The number of states is finite, and small, for these reasons:
//!
//! - **Clock.** Time passes in steps of the longest order. All bounds are whole numbers of steps, and
//!   every guard holds at its bound too (terms get one millisecond more, as `LeaseTerm` compares strictly). Each
//!   run of such a system has one with the same events at whole steps, and with a smaller gap between two events
//!   only if that is below a whole step as well (Henzinger, Manna and Pnueli, "What good are digital clocks?").
//!   Times are relative to the present, and capped where no guard distinguishes them any more.
//! - **Late and repeated calls.** A renewal or an end that was sent may be executed at any later time, and any number
//!   of times. For a renewal that is allowed whether it was sent or not. So calls under way are not a list, of
//!   which the length would need a bound, but one bit for each lease that an end names.
//! - **Records that no router uses.** Where a take-over was executed and its router never knows of it (late, repeated,
//!   answer lost, router killed), no order is given under the lease, and the record only keeps others from taking
//!   the lease for a while. The state without it allows all that the state with it allows, as a call for a lease
//!   may get lost. So it is dropped, and a take-over that no router waits for does nothing. The record of a term that
//!   had begun stays until it expires; to renew it would only keep others from the lease for longer.
//! - **Expiry.** A take-over consists of a grant and a write; the lease runs from the grant. It is
//!   taken to be granted when the take-over was sent, which ends it soonest; a renewal that may be executed at any
//!   time covers the rest.
//! - **Copies of the store.** After an era has begun, the store has no record. A record of the copy would only
//!   keep others from the lease, as no router uses a lease of an earlier era in a later one. Numbers of leases are
//!   given again: a new lease may have the number of any earlier one, also one that an end under way names.
//! - **Answers.** An answer that is denied, lost or late is covered by a router that gives up waiting,
//!   or ends its term, at any time. One that arrives twice, or for a call that was given up, reaches no caller, as
//!   HTTP binds an answer to its call.
//! - **Pauses.** A router may do nothing for any time in each state.
//! - **Symmetry.** The two routers may be exchanged.

mod router;
mod state;
mod successors;

use std::collections::HashMap;

use policy::Time;
use relay::EraStart;
use relay::LeaseBounds;
use relay::MAX_ORDER_MS;

pub use state::State;
pub use successors::Step;

/// Time to live of the lease, and the least time between the orders of two holders, in steps of the clock.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time to live of the lease.
    pub ttl: u64,
    /// Least time between the orders of two holders, for which a new holder waits.
    pub wait: u64,
}

impl Bounds {
    /// Returns from when on a router that takes the lease may give orders.
    fn first_order_at(self, now: Time, era: EraStart) -> Time {
        let bounds = LeaseBounds {
            fenced: false,
            ttl_ms: self.ttl * MAX_ORDER_MS,
            holder_gap_ms: self.wait * MAX_ORDER_MS,
        };
        bounds.first_order_at(now, era)
    }
}

/// What a system may do wrong, which the walk must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A router asks for the end of its lease before its orders are over.
    EndsEarly,
    /// A router asks for the end of its lease once it gives no new orders, while one is under way.
    EndsDuringOrder,
    /// An end names the lease by its number, which a later era may give again.
    EndsByNumber,
    /// A new holder doesn't count from the beginning of the store's era.
    IgnoresEra,
    /// A router that starts again takes the store's era for one that began long ago.
    TrustsFirstEra,
    /// A term counts from the answer to its renewal.
    CountsFromAnswer,
    /// An answer that arrives twice is used as that of a later renewal.
    MistakesAnswers,
}

/// What is walked over.
#[derive(Clone, Copy, Debug)]
pub struct Walk {
    /// Bounds of the lease.
    pub bounds: Bounds,
    /// Whether the store may come back from an older copy, at any time and any number of times.
    pub has_eras: bool,
    /// What the system does wrong.
    pub fault: Fault,
}

/// A state that was visited: the one before it, and the step from there.
struct Visit {
    before: u128,
    step: Step,
    /// Whether the routers were exchanged in it.
    is_swapped: bool,
}

impl Walk {
    /// Visits all states. Returns their number, or the shortest steps to an order that must not be given.
    pub fn run(self) -> Result<usize, Vec<Step>> {
        let start = State::new().canonical(self);
        let mut seen = HashMap::new();
        let step = Step::START;
        let is_swapped = false;
        seen.insert(
            start.key,
            Visit {
                before: 0,
                step,
                is_swapped,
            },
        );
        let mut latest = vec![start];
        let mut next = Vec::new();
        while !latest.is_empty() {
            let mut reached = Vec::new();
            for state in &latest {
                state.successors(self, &mut next);
                for (step, successor) in next.drain(..) {
                    let Some(successor) = successor else {
                        return Err(steps_to(&seen, state.key, step));
                    };
                    let (before, key) = (state.key, successor.key);
                    let is_swapped = successor.is_swapped;
                    seen.entry(key).or_insert_with(|| {
                        reached.push(successor);
                        Visit {
                            before,
                            step,
                            is_swapped,
                        }
                    });
                }
            }
            latest = reached;
        }
        Ok(seen.len())
    }
}

fn steps_to(seen: &HashMap<u128, Visit>, mut key: u128, last: Step) -> Vec<Step> {
    let mut steps = vec![(last, false)];
    while let Some(visit) = seen.get(&key).filter(|visit| visit.step != Step::START) {
        steps.push((visit.step, visit.is_swapped));
        key = visit.before;
    }
    let mut first = 0;
    let named = steps.into_iter().rev().map(|(step, is_swapped)| {
        let router = step.router ^ first;
        first ^= usize::from(is_swapped);
        Step { router, ..step }
    });
    named.collect()
}
