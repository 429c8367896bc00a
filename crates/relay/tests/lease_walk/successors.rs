//! The states that may follow one.

use policy::Time;
use relay::EraStart;
use relay::LeaseTerm;
use relay::OrderLease;
use relay::MAX_ORDER_MS;

use super::router::Awaited;
use super::router::Call;
use super::router::Era;
use super::router::Router;
use super::state::after;
use super::state::now;
use super::state::Record;
use super::state::State;
use super::Fault;
use super::Walk;

/// Time by which terms are longer, as `LeaseTerm` allows no order at its very end, in milliseconds.
const CLOSED_MS: u64 = 1;

/// What happens between two states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The router that does it; it may change its place from state to state.
    pub router: usize,
    pub name: &'static str,
}

impl Step {
    pub const START: Step = Step {
        router: 0,
        name: "start",
    };
}

/// States that may follow; none stands for an order that must not be given.
pub type Successors = Vec<(Step, Option<State>)>;

impl State {
    /// Adds the states that may follow.
    pub fn successors(&self, walk: Walk, next: &mut Successors) {
        let mut add = |router, name, state: Option<State>| {
            let state = state.map(|state| state.canonical(walk));
            next.push((Step { router, name }, state));
        };
        self.pass_time(&mut add);
        self.change_store(walk, &mut add);
        for router in 0..2 {
            self.run_process(walk, router, &mut add);
            self.order(walk, router, &mut add);
            self.send(walk, router, &mut add);
            self.serve(walk, router, &mut add);
        }
    }

    fn pass_time(&self, add: &mut dyn FnMut(usize, &'static str, Option<State>)) {
        let mut state = *self;
        let back = |time: Time| Time::from_millis(time.as_millis().saturating_sub(MAX_ORDER_MS));
        for router in &mut state.routers {
            router.map_times(&back);
        }
        if let Some(record) = &mut state.record {
            record.expiry = back(record.expiry);
        }
        state.record.take_if(|record| record.expiry <= now());
        add(0, "time passes", Some(state));
    }

    /// Executes late calls, or begins an era of the store.
    fn change_store(&self, walk: Walk, add: &mut dyn FnMut(usize, &'static str, Option<State>)) {
        if let Some(record) = self.record {
            let owner = record.owner.unwrap_or(0);
            let mut renewed = *self;
            let expiry = after(now(), walk.bounds.ttl);
            renewed.record = Some(Record { expiry, ..record });
            if record.owner.is_some() {
                add(owner, "late renewal", Some(renewed));
            }
            if record.is_end_sent {
                let mut ended = *self;
                ended.record = None;
                add(owner, "late end", Some(ended));
            }
        }
        if walk.has_eras {
            let mut state = *self;
            state.record = None;
            state.was_end_sent_earlier |= state.is_end_sent;
            state.is_end_sent = false;
            for router in &mut state.routers {
                router.era = match router.era {
                    Era::Unknown => Era::Unknown,
                    Era::Earlier | Era::Noted(_) => Era::Earlier,
                };
                if let Some(call) = &mut router.call {
                    call.is_of_earlier_era |= call.executed.is_some();
                }
            }
            add(0, "an era begins", Some(state));
        }
    }

    /// Starts a router again, stops it, ends its term, and lets it learn of the store's era.
    fn run_process(
        &self,
        walk: Walk,
        number: usize,
        add: &mut dyn FnMut(usize, &'static str, Option<State>),
    ) {
        let router = self.routers[number];
        let mut killed = *self;
        killed.release(number);
        killed.routers[number] = Router {
            orders_until: router.orders_until,
            era: match walk.has_eras {
                true => Era::Unknown,
                false => router.era,
            },
            ..Router::new()
        };
        add(number, "is killed", Some(killed));
        if router.era == Era::Unknown || router.era == Era::Earlier {
            let mut noted = *self;
            noted.note_era(walk, number);
            add(number, "notes the era", Some(noted));
        }
        let mut stopping = *self;
        stopping.routers[number].is_stopping = true;
        add(number, "begins to stop", Some(stopping));
        if router.order_lease.is_held() {
            let mut ended = *self;
            ended.end_term(number);
            add(number, "ends its term", Some(ended));
        }
        if router.is_stopping && router.call.is_none() && walk.fault != Fault::EndsEarly {
            let mut ending = *self;
            let begun = ending.routers[number].order_lease.begin_end();
            if begun.is_some() {
                add(number, "gives no more orders", Some(ending));
            }
        }
    }

    fn note_era(&mut self, walk: Walk, number: usize) {
        let router = &mut self.routers[number];
        match router.era {
            Era::Noted(_) => return,
            Era::Unknown if walk.fault == Fault::TrustsFirstEra => {
                router.era = Era::Noted(Time::default());
                return;
            }
            Era::Unknown | Era::Earlier => router.era = Era::Noted(now()),
        }
        if router.order_lease.is_held() {
            self.end_term(number);
        }
    }

    /// Gives an order, if the router may, and checks it against those of the other one. New weights may be named
    /// at any time.
    fn order(
        &self,
        walk: Walk,
        number: usize,
        add: &mut dyn FnMut(usize, &'static str, Option<State>),
    ) {
        let mut state = *self;
        let Some(fence) = state.routers[number].order_lease.begin_order(now()) else {
            return;
        };
        let other = &mut state.routers[1 - number];
        let is_early = other.orders_until > Time::default()
            && after(other.orders_until, walk.bounds.wait) > now();
        other.is_superseded |= other.fence() < fence;
        if is_early || self.routers[number].is_superseded {
            return add(number, "orders too early", None);
        }
        state.routers[number].orders_until = after(now(), 1);
        add(number, "orders", Some(state));
    }

    /// Sends a call, or gives up waiting for one.
    fn send(
        &self,
        walk: Walk,
        number: usize,
        add: &mut dyn FnMut(usize, &'static str, Option<State>),
    ) {
        let router = self.routers[number];
        let call = |kind| Call {
            kind,
            sent_at: now(),
            executed: None,
            is_of_earlier_era: false,
        };
        if router.call.is_some() {
            let mut state = *self;
            if router.is_taking() {
                state.drop_take(number);
            }
            state.routers[number].call = None;
            return add(number, "waits no longer", Some(state));
        }
        let mut state = *self;
        match router.order_lease {
            OrderLease::Holding { .. } if !router.is_stopping => {
                state.routers[number].call = Some(call(Awaited::Renew));
                add(number, "sends a renewal", Some(state));
            }
            OrderLease::Ended if !router.is_stopping => {
                state.routers[number].call = Some(call(Awaited::Take));
                add(number, "sends a take-over", Some(state));
            }
            OrderLease::Holding { .. } if walk.fault == Fault::EndsEarly => {
                state.send_end(walk, number);
                add(number, "sends the end", Some(state));
            }
            OrderLease::Ending { .. } => {
                let order_lease = &mut state.routers[number].order_lease;
                let at = match walk.fault {
                    Fault::EndsDuringOrder => after(now(), 1),
                    _ => now(),
                };
                if order_lease.send_end(at) {
                    state.send_end(walk, number);
                    add(number, "sends the end", Some(state));
                }
            }
            OrderLease::Holding { .. } | OrderLease::Ended | OrderLease::Unknown => {}
        }
    }

    fn send_end(&mut self, walk: Walk, number: usize) {
        self.is_end_sent |= walk.has_eras && walk.fault == Fault::EndsByNumber;
        if let Some(record) = self.record.as_mut().filter(|r| r.owner == Some(number)) {
            record.is_end_sent = true;
        }
    }

    /// Executes the call that a router waits for, or answers it.
    fn serve(
        &self,
        walk: Walk,
        number: usize,
        add: &mut dyn FnMut(usize, &'static str, Option<State>),
    ) {
        let Some(call) = self.routers[number].call else {
            return;
        };
        if call.executed.is_some() {
            let mut state = *self;
            state.answer(walk, number, call);
            return add(number, "has its answer", Some(state));
        }
        match call.kind {
            Awaited::Take if self.record.is_none() => {
                let mut state = *self;
                state.take(walk, number, call);
                add(number, "take-over executed", Some(state));
            }
            Awaited::Renew if self.owns_record(number) => {
                let mut state = *self;
                let expiry = after(now(), walk.bounds.ttl);
                state.record = self.record.map(|record| Record { expiry, ..record });
                let executed = Some(0);
                state.routers[number].call = Some(Call { executed, ..call });
                add(number, "renewal executed", Some(state));
            }
            Awaited::Take | Awaited::Renew => {}
        }
    }

    fn take(&mut self, walk: Walk, number: usize, call: Call) {
        let fence = 1 + self.routers.iter().map(Router::fence).max().unwrap_or(0);
        let executed = Some(fence);
        self.routers[number].call = Some(Call { executed, ..call });
        self.routers[number].is_superseded = false;
        self.record = Some(Record {
            owner: Some(number),
            expiry: after(call.sent_at, walk.bounds.ttl),
            is_end_sent: self.was_end_sent_earlier,
        });
    }

    fn answer(&mut self, walk: Walk, number: usize, call: Call) {
        if walk.fault != Fault::MistakesAnswers {
            self.routers[number].call = None;
        }
        let knows_era = matches!(self.routers[number].era, Era::Noted(_));
        if call.is_of_earlier_era && knows_era {
            return;
        }
        if !call.is_of_earlier_era {
            self.note_era(walk, number);
        }
        let counts_from = match walk.fault {
            Fault::CountsFromAnswer | Fault::MistakesAnswers => now(),
            _ => call.sent_at,
        };
        let ttl_ms = walk.bounds.ttl * MAX_ORDER_MS + CLOSED_MS;
        let router = &mut self.routers[number];
        let noted_at = match router.era {
            Era::Noted(since) if walk.fault != Fault::IgnoresEra => since,
            _ => Time::default(),
        };
        let era = EraStart {
            noted_at: Some(noted_at),
            knew_earlier: true,
        };
        match call.kind {
            Awaited::Renew => router.order_lease.renew(counts_from, ttl_ms),
            Awaited::Take => router.order_lease.begin(LeaseTerm {
                fence: call.executed.unwrap_or(0),
                from: walk.bounds.first_order_at(now(), era),
                until: counts_from.plus_millis(ttl_ms),
            }),
        }
    }
}
