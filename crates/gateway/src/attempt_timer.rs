//! Measures how long an attempt takes, from which the pace of its backend server is learned.

use policy::Time;
use relay::AttemptTiming;
use relay::Choice;
use relay::Fleet;

/// Events of a stream from which the time between them is used.
const MIN_EVENTS: u32 = 8;

/// First event of a stream.
#[derive(Clone, Copy, Debug)]
struct FirstEvent {
    at: Time,
    /// Sum of the requests in flight at the backend server over time, until then.
    request_ms: f64,
}

/// Times of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimer {
    sent_at: Time,
    /// Estimated wait and prefill at a server of usual pace, in milliseconds.
    expected_ms: f64,
    /// The prefill alone.
    prefill_ms: f64,
    /// Sum of the requests in flight at the backend server over time, until it was sent.
    request_ms: f64,
    first_event: Option<FirstEvent>,
    events: u32,
    /// Whether the time between events is that of the caller, who reads slowly.
    is_held_up: bool,
}

impl AttemptTimer {
    /// Begins to measure an attempt that is sent now and counted in flight already.
    pub fn new(now: Time, fleet: &Fleet, choice: &Choice) -> AttemptTimer {
        AttemptTimer {
            sent_at: now,
            expected_ms: choice.nominal_ms(),
            prefill_ms: choice.nominal_prefill_ms(),
            request_ms: request_ms(now, fleet, choice),
            first_event: None,
            events: 0,
            is_held_up: false,
        }
    }

    /// Notes data of a stream; returns the time of the first event if this is it.
    pub fn first_event(
        &mut self,
        now: Time,
        fleet: &Fleet,
        choice: &Choice,
    ) -> Option<AttemptTiming> {
        if self.first_event.is_some() {
            return None;
        }
        self.first_event = Some(FirstEvent {
            at: now,
            request_ms: request_ms(now, fleet, choice),
        });
        Some(AttemptTiming::FirstEvent {
            took_ms: millis(self.sent_at, now),
            expected_ms: self.expected_ms,
            prefill_ms: self.prefill_ms,
        })
    }

    /// Counts an event that is relayed to the caller, who has room for it or not.
    pub fn count_event(&mut self, caller_has_room: bool) {
        self.events += 1;
        self.is_held_up |= !caller_has_room;
    }

    /// Returns the time between the events of a stream that ends; none if there are too few, or
    /// the caller held it up.
    pub fn stream_end(&self, now: Time, fleet: &Fleet, choice: &Choice) -> Option<AttemptTiming> {
        let first = self.first_event?;
        let took_ms = millis(first.at, now);
        let is_usable = self.events >= MIN_EVENTS && !self.is_held_up && took_ms > 0.0;
        is_usable.then(|| AttemptTiming::Event {
            event_ms: took_ms / f64::from(self.events - 1),
            requests: (request_ms(now, fleet, choice) - first.request_ms) / took_ms,
        })
    }

    /// Returns the whole time of a response that ends.
    pub fn whole(&self, now: Time, fleet: &Fleet, choice: &Choice) -> Option<AttemptTiming> {
        let took_ms = millis(self.sent_at, now);
        let requests = (request_ms(now, fleet, choice) - self.request_ms) / took_ms;
        (took_ms > 0.0).then_some(AttemptTiming::Whole { took_ms, requests })
    }
}

fn request_ms(now: Time, fleet: &Fleet, choice: &Choice) -> f64 {
    let server = fleet.get(choice.server);
    server.map_or(0.0, |server| server.request_ms(now))
}

fn millis(from: Time, to: Time) -> f64 {
    to.micros_since(from) as f64 / 1_000.0
}
