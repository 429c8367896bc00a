//! Accounting of requests in flight as load of their backend server, and of the time they take.

use std::rc::Rc;

use relay::Choice;
use relay::ServerKey;

use crate::attempt_timer::AttemptTimer;
use crate::clock::now;
use crate::context::Context;

/// A request in flight; dropping it ends its share of the backend server's load.
pub struct InFlight {
    cx: Rc<Context>,
    choice: Choice,
    prefill_ms: u64,
    /// Times of the attempt; none if paces aren't learned.
    timer: Option<AttemptTimer>,
    /// Whether it has no response yet.
    is_waiting: bool,
}

impl InFlight {
    /// Adds a request to the load of the backend server chosen for it.
    pub fn begin(cx: &Rc<Context>, choice: &Choice) -> InFlight {
        let mut view = cx.view.borrow_mut();
        let fleet = &mut view.fleet;
        let prefill_ms = choice.nominal_prefill_ms() as u64;
        fleet.begin_request(now(), choice.server, prefill_ms);
        let learns = fleet.learns_paces();
        InFlight {
            cx: Rc::clone(cx),
            choice: choice.clone(),
            prefill_ms,
            timer: learns.then(|| AttemptTimer::new(now(), fleet, choice)),
            is_waiting: true,
        }
    }

    /// Ends the prefill's share of the load, as the backend server has responded.
    pub fn end_prefill(&mut self) {
        let mut view = self.cx.view.borrow_mut();
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        view.fleet
            .end_prefill(now(), self.choice.server, prefill_ms);
        if std::mem::take(&mut self.is_waiting) {
            view.fleet.end_waiting(self.choice.server);
        }
    }

    /// Records that this router doesn't read the response at present, until the guard is dropped.
    pub fn hold_back(&self) -> HeldBack {
        let server = self.choice.server;
        if let Some(server) = self.cx.view.borrow_mut().fleet.get_mut(server) {
            server.begin_hold_back();
        }
        HeldBack {
            cx: Rc::clone(&self.cx),
            server,
        }
    }

    /// Records the time to the first event of a stream; ignored after that.
    pub fn record_first_event(&mut self) {
        let Some(timer) = &mut self.timer else {
            return;
        };
        let fleet = &mut self.cx.view.borrow_mut().fleet;
        if let Some(timing) = timer.first_event(now(), fleet, &self.choice) {
            fleet.record_timing(now(), self.choice.server, timing);
        }
    }

    /// Counts an event of a stream that is relayed to the caller, who has room for it or not.
    pub fn count_event(&mut self, caller_has_room: bool) {
        if let Some(timer) = &mut self.timer {
            timer.count_event(caller_has_room);
        }
    }

    /// Records the time between the events of a stream that is complete.
    pub fn record_stream_end(&self) {
        let Some(timer) = self.timer else {
            return;
        };
        let fleet = &mut self.cx.view.borrow_mut().fleet;
        if let Some(timing) = timer.stream_end(now(), fleet, &self.choice) {
            fleet.record_timing(now(), self.choice.server, timing);
        }
    }

    /// Records the time of a response of a plain service that is complete.
    pub fn record_whole(&self) {
        let Some(timer) = self.timer else {
            return;
        };
        let fleet = &mut self.cx.view.borrow_mut().fleet;
        let server = fleet.get(self.choice.server);
        if !server.is_some_and(|server| server.registration.weights.is_empty()) {
            return;
        }
        if let Some(timing) = timer.whole(now(), fleet, &self.choice) {
            fleet.record_timing(now(), self.choice.server, timing);
        }
    }
}

/// A response that this router doesn't read at present, as there is no room for it or its caller doesn't
/// take it.
pub struct HeldBack {
    cx: Rc<Context>,
    server: ServerKey,
}

impl Drop for HeldBack {
    fn drop(&mut self) {
        let fleet = &mut self.cx.view.borrow_mut().fleet;
        if let Some(server) = fleet.get_mut(self.server) {
            server.end_hold_back(now());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut view = self.cx.view.borrow_mut();
        if self.is_waiting {
            view.fleet.end_waiting(self.choice.server);
        }
        view.fleet.end_request(self.choice.server, self.prefill_ms);
        self.cx.room_freed.notify_waiters();
    }
}
