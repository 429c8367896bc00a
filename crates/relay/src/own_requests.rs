//! Requests of this router that are in flight at a backend server, and its responses to them.

use policy::Time;

use crate::responses::Responses;

/// Time after the last response or failure for which it is reported to other routers, in
/// milliseconds.
const REPORTED_MS: u64 = 2_000;

/// Requests in flight at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Estimated prefill time outstanding for them, in milliseconds.
    pub prefill_ms: u64,
}

/// Requests of this router that are in flight at a backend server, and its responses to them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnRequests {
    load: Load,
    /// Those of them that have no response yet.
    waiting: u32,
    /// Those of them whose response this router doesn't read at present.
    held_back: u32,
    /// Since when no response has come; none if no response is awaited.
    silent_since: Option<Time>,
    /// When the server last responded.
    responded_at: Option<Time>,
    /// First and last failure since it responded.
    failed: Option<(Time, Time)>,
}

impl OwnRequests {
    /// Returns the requests in flight.
    pub(crate) fn load(&self) -> Load {
        self.load
    }

    /// Returns how many of them have no response yet.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns when the server last responded.
    pub(crate) fn responded_at(&self) -> Option<Time> {
        self.responded_at
    }

    /// Returns for how long it has not responded, in milliseconds.
    pub(crate) fn silence_ms(&self, now: Time) -> u64 {
        self.silent_since.map_or(0, |since| now.millis_since(since))
    }

    /// Returns what other routers are to know of its responses.
    pub(crate) fn responses(&self, now: Time) -> Responses {
        let is_recent = |at: Time| now.millis_since(at) < REPORTED_MS;
        let failed = self.failed.filter(|(_, last)| is_recent(*last));
        let silent_since = [self.silent_since, failed.map(|(first, _)| first)];
        Responses {
            responded_at: self.responded_at.filter(|at| is_recent(*at)),
            silent_since: silent_since.into_iter().flatten().min(),
        }
    }

    /// Counts a request whose estimated prefill time is `prefill_ms`.
    pub(crate) fn begin(&mut self, now: Time, prefill_ms: u64) {
        self.load.requests += 1;
        self.load.prefill_ms += prefill_ms;
        self.waiting += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that the server has responded to a request, whose prefill is over.
    pub(crate) fn end_prefill(&mut self, now: Time, prefill_ms: u64) {
        self.load.prefill_ms = self.load.prefill_ms.saturating_sub(prefill_ms);
        self.silent_since = (self.load.requests > 1 + self.held_back).then_some(now);
        self.responded_at = Some(now);
        self.failed = None;
    }

    /// Counts a request whose response this router doesn't read: it isn't the server that is silent.
    pub(crate) fn begin_hold_back(&mut self) {
        self.held_back += 1;
        self.end_silence_unless_awaited();
    }

    /// Records that this router reads a response again.
    pub(crate) fn end_hold_back(&mut self, now: Time) {
        self.held_back = self.held_back.saturating_sub(1);
        if self.load.requests > self.held_back {
            self.silent_since.get_or_insert(now);
        }
    }

    /// Records that a request has its first response, or ended without one.
    pub(crate) fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Uncounts a request; `prefill_ms` is the prefill time still counted for it.
    pub(crate) fn end(&mut self, prefill_ms: u64) {
        self.load.requests = self.load.requests.saturating_sub(1);
        self.load.prefill_ms = self.load.prefill_ms.saturating_sub(prefill_ms);
        self.end_silence_unless_awaited();
    }

    /// Records that a request failed without a response.
    pub(crate) fn record_failure(&mut self, now: Time) {
        let first = self.failed.map_or(now, |(first, _)| first);
        self.failed = Some((first, now));
    }

    fn end_silence_unless_awaited(&mut self) {
        if self.load.requests <= self.held_back {
            self.silent_since = None;
        }
    }
}
