//! How slow a backend server is against the others of its service, learned from the times that
//! attempts of all routers took.
//!
//! Engines give two kinds of evidence. The time between the events of a stream depends little on
//! estimates of the load. The time to the first event against its estimate shows the speed of
//! prefill, but most of it is the error of the estimated wait; it counts only for requests whose own
//! prefill is most of the estimate, and the fastest ends count most. Plain services give the whole
//! time of a request, of which the fastest ends count most too, as the others had to wait.
//!
//! All are kept in a steady mean over some seconds, which noise moves little. A recent mean of the
//! first kind is kept beside it: if it differs from the steady one by more than noise can explain,
//! the server has changed, and what was learned before is dropped.

use std::collections::HashMap;

use policy::Time;

use crate::concurrency_limit::ByFill;
use crate::pace_average::Average;
use crate::pace_average::Slowness;
use crate::pace_ends::Ends;
use crate::pace_ends::PLAIN_RECENT_DECAY_MS;
use crate::pace_ends::RECENT_DECAY_MS;
use crate::pace_ends::STEADY_DECAY_MS;
use crate::AttemptTiming;
use crate::PaceUpdate;

/// Difference of the recent and the steady mean from which the server has changed, as a logarithm.
/// Slices of time that take 2.5 times as long are noise.
const CHANGED_LOG: f64 = 1.05;

/// Weight of the recent mean that is needed to find a change, in ends.
const CHANGED_MIN_WEIGHT: f64 = 2.0;

/// Time after a change in which the recent mean counts alone, in milliseconds.
const SETTLING_MS: u64 = 700;

/// Difference between the times at which two routers find the same change, at most, in milliseconds.
const SAME_CHANGE_MS: u64 = 1_000;

/// Weight from which a mean counts, in ends: a steady one, that of first events, and a recent one
/// after a change.
const MIN_WEIGHT: f64 = 6.0;
const MIN_FIRST_WEIGHT: f64 = 3.0;
const MIN_RECENT_WEIGHT: f64 = 1.0;

/// Largest difference of an end from the mean with which it counts there, as a logarithm.
const MAX_DIFFERENCE_LOG: f64 = 0.5;

/// Added to the times to the first event, in milliseconds, so that the time on the network doesn't
/// make short requests look slow.
const NETWORK_MS: f64 = 5.0;

/// Part of the expected time to the first event that must be the request's own prefill.
const MIN_PREFILL_PART: f64 = 0.5;

/// Expected time between two events of a stream with an empty and with a full batch, and of a
/// request to a plain service, in milliseconds. Any unit would do, as paces are relative to the
/// service's median.
const EVENT_MS: f64 = 1.0;
const FULL_EVENT_MS: f64 = 1.5;
const PLAIN_MS: f64 = 40.0;

/// Time without an end for which a pace holds in full, in milliseconds, and the time in which it
/// then approaches 1, so that a server that gets no requests for its pace is tried again.
const HOLDS_MS: f64 = 1_000.0;
const RELAXES_MS: f64 = 600.0;

/// Time without an end after which a pace is 1, in milliseconds.
const FORGOTTEN_MS: u64 = 10_000;

/// Smallest ratio of a time to what is expected, so that its logarithm is a number.
const MIN_RATIO: f64 = 0.01;

/// Logarithms of paces that count as 1: within 15% of the median.
const EQUAL_LOG: f64 = 0.14;

/// The same for the recent mean after a change, which is less certain.
const EQUAL_RECENT_LOG: f64 = 0.5;

/// Standard deviation that no number of ends reduces: bursts of prompts and slow slices of time
/// affect all requests that a server runs.
const SHARED_DEVIATION: f64 = 0.08;
const FIRST_SHARED_DEVIATION: f64 = 0.12;

/// Number of standard errors within which a pace counts as 1, and within which it returns to 1.
const STANDARD_ERRORS: f64 = 4.5;
const RETURN_STANDARD_ERRORS: f64 = 2.5;

/// Weight of a request to a plain service that had to wait for others there, as far as known: its
/// wait is known badly.
const QUEUED_WEIGHT: f64 = 0.1;

/// Weight by which a report must grow to bring a new end.
const MIN_NEW_WEIGHT: f64 = 0.2;

/// Smallest and largest pace.
const PACE_RANGE: (f64, f64) = (0.25, 8.0);

/// How slow a server is by both kinds of evidence.
pub(crate) type Evidence = [Option<Slowness>; 2];

/// What is known of one server's speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerPace {
    /// Whether it is a server of a plain service.
    is_plain: bool,
    own: Ends,
    /// Logarithm of the steady mean of all routers, if it is known.
    center: Option<f64>,
    /// Ends of other routers, by the hash of the router's or region's name.
    others: HashMap<u64, Ends>,
    /// When an end was last learned of, if the server's pace is known.
    learned_at: Option<Time>,
    /// Logarithm of the pace, 0 if it counts as 1.
    log: f64,
    /// Time that a request takes at the median server of a plain service, in milliseconds.
    pub(crate) median_ms: f64,
    /// Number of requests in flight with the highest throughput, if it is below the slots.
    pub(crate) concurrency_limit: Option<f64>,
}

impl ServerPace {
    /// Returns the pace of a server that nothing is known of.
    pub(crate) fn new(is_plain: bool) -> ServerPace {
        ServerPace {
            is_plain,
            ..ServerPace::default()
        }
    }

    fn average(&self) -> Average {
        if self.is_plain {
            Average::Fastest
        } else {
            Average::Mean
        }
    }

    fn recent_decay_ms(&self) -> f64 {
        if self.is_plain {
            PLAIN_RECENT_DECAY_MS
        } else {
            RECENT_DECAY_MS
        }
    }

    /// Returns the means without what was learned before the last known change.
    fn since_change(&self, ends: Ends) -> Ends {
        if self.own.changed_at.millis_since(ends.changed_at) <= SAME_CHANGE_MS {
            return ends;
        }
        Ends {
            recent: ends.recent,
            changed_at: self.own.changed_at,
            ..Ends::default()
        }
    }

    fn is_settling(&self, now: Time) -> bool {
        now.millis_since(self.own.changed_at) < SETTLING_MS
    }

    /// Records the end of an attempt of this router at a server with some slots.
    pub(crate) fn record(&mut self, now: Time, timing: AttemptTiming, slots: f64) {
        match timing {
            AttemptTiming::FirstEvent {
                took_ms,
                expected_ms,
                prefill_ms,
            } => {
                if prefill_ms < expected_ms * MIN_PREFILL_PART {
                    return;
                }
                let log = ((took_ms + NETWORK_MS) / (expected_ms + NETWORK_MS)).ln();
                let value = Average::Fastest.value(log);
                self.own.first.add(now, value, 1.0, STEADY_DECAY_MS);
            }
            AttemptTiming::Whole { took_ms, requests } => {
                let queued = (requests / slots).max(1.0);
                let weight = if queued > 1.0 { QUEUED_WEIGHT } else { 1.0 };
                self.add(now, took_ms / (PLAIN_MS * queued), weight);
                // The time includes the wait for others, so that all of them count.
                self.own
                    .by_fill
                    .add(now, took_ms, requests, requests / slots);
            }
            AttemptTiming::Event { event_ms, requests } => {
                let fill = (requests / slots).min(1.0);
                let expected_ms = EVENT_MS + fill * (FULL_EVENT_MS - EVENT_MS);
                self.add(now, event_ms / expected_ms, 1.0);
                // Those that wait for the batch add no throughput.
                let running = requests.min(slots);
                self.own
                    .by_fill
                    .add(now, event_ms, running, requests / slots);
            }
        }
    }

    fn add(&mut self, now: Time, ratio: f64, weight: f64) {
        let log = ratio.max(MIN_RATIO).ln();
        let average = self.average();
        let recent_decay_ms = self.recent_decay_ms();
        self.own
            .recent
            .add(now, average.value(log), weight, recent_decay_ms);
        let center = self.center.unwrap_or(log);
        let log = log.clamp(center - MAX_DIFFERENCE_LOG, center + MAX_DIFFERENCE_LOG);
        self.own
            .steady
            .add(now, average.value(log), weight, STEADY_DECAY_MS);
        self.learned_at = Some(now);
    }

    /// Records what another router, or the hub of a region, has learned.
    pub(crate) fn record_other(&mut self, now: Time, source: u64, update: &PaceUpdate) {
        let ends = Ends {
            recent: self.average().received(now, update.recent),
            steady: self.average().received(now, update.steady),
            first: Average::Fastest.received(now, update.first),
            by_fill: ByFill(update.by_fill.map(|m| Average::Mean.received(now, m))),
            changed_at: update.changed_at(now),
        };
        let known = self.others.insert(source, ends).unwrap_or_default();
        if ends.changed_at.millis_since(self.own.changed_at) > SAME_CHANGE_MS {
            self.drop_earlier(now, ends.changed_at);
        }
        let before = known.at(now, self.recent_decay_ms()).steady.weight;
        if ends.steady.weight > before + MIN_NEW_WEIGHT || ends.recent.weight > MIN_NEW_WEIGHT {
            self.learned_at = Some(now);
        }
    }

    /// Returns what this router and those for which `counts` is true have learned.
    pub(crate) fn update<F>(&self, now: Time, counts: F) -> PaceUpdate
    where
        F: Fn(u64) -> bool,
    {
        let ends = self.ends(now, counts);
        PaceUpdate {
            recent: self.average().update(ends.recent),
            steady: self.average().update(ends.steady),
            first: Average::Fastest.update(ends.first),
            by_fill: ends.by_fill.0.map(|mean| Average::Mean.update(mean)),
            changed: PaceUpdate::age(now, self.own.changed_at),
        }
    }

    fn ends<F>(&self, now: Time, counts: F) -> Ends
    where
        F: Fn(u64) -> bool,
    {
        let others = self.others.iter().filter(|(router, _)| counts(**router));
        let recent_decay_ms = self.recent_decay_ms();
        let own = self.own.at(now, recent_decay_ms);
        others.fold(own, |sum, (_, ends)| {
            sum.plus(self.since_change(ends.at(now, recent_decay_ms)))
        })
    }

    /// Returns whether the server's speed has changed.
    fn has_changed(&self, now: Time, ends: &Ends) -> bool {
        let recent = ends.recent.mean(CHANGED_MIN_WEIGHT);
        let steady = ends.steady.mean(MIN_WEIGHT);
        let (Some(recent), Some(steady)) = (recent, steady) else {
            return false;
        };
        let average = self.average();
        let difference = average.log(recent) - average.log(steady);
        !self.is_settling(now) && difference.abs() >= CHANGED_LOG
    }

    /// Drops what was learned before a change, but for the last moments.
    fn drop_earlier(&mut self, now: Time, changed_at: Time) {
        let recent = self.own.recent.at(now, self.recent_decay_ms());
        self.own = Ends {
            recent,
            steady: recent,
            changed_at,
            ..Ends::default()
        };
    }

    /// Returns how slow a server with some slots is, as far as it is known. Drops what was learned
    /// before its speed changed, if it did.
    pub(crate) fn evidence(&mut self, now: Time, slots: f64) -> Evidence {
        self.forget(now);
        let mut ends = self.ends(now, |_| true);
        if self.has_changed(now, &ends) {
            self.drop_earlier(now, now);
            ends = self.ends(now, |_| true);
        }
        self.concurrency_limit = ends.by_fill.limit(slots);
        let average = self.average();
        if self.is_settling(now) {
            self.center = None;
            let recent = average.slowness(ends.recent, MIN_RECENT_WEIGHT, SHARED_DEVIATION);
            return [recent, None];
        }
        let steady = average.slowness(ends.steady, MIN_WEIGHT, SHARED_DEVIATION);
        self.center = steady.map(|steady| steady.log);
        let first = Average::Fastest.slowness(ends.first, MIN_FIRST_WEIGHT, FIRST_SHARED_DEVIATION);
        // First events alone say too little.
        [steady, steady.and(first)]
    }

    fn forget(&mut self, now: Time) {
        let is_over = |at: Time| now.millis_since(at) >= FORGOTTEN_MS;
        if self.learned_at.is_some_and(is_over) {
            *self = ServerPace::new(self.is_plain);
        }
    }

    /// Sets the pace from the evidence and the medians of the service, as logarithms.
    pub(crate) fn set(&mut self, now: Time, evidence: Evidence, medians: [f64; 2]) {
        self.median_ms = medians[0].exp() * PLAIN_MS;
        let (mut log, mut precision) = (0.0, 0.0);
        for (slowness, median) in evidence.iter().zip(medians) {
            if let Some(slowness) = slowness {
                log += (slowness.log - median) / slowness.variance;
                precision += 1.0 / slowness.variance;
            }
        }
        if precision == 0.0 {
            return;
        }
        log /= precision;
        let limit = if self.is_settling(now) {
            EQUAL_RECENT_LOG
        } else {
            let errors = if self.log == 0.0 {
                STANDARD_ERRORS
            } else {
                RETURN_STANDARD_ERRORS
            };
            EQUAL_LOG.max(precision.sqrt().recip() * errors)
        };
        let is_equal = log.abs() < limit;
        self.log = if is_equal { 0.0 } else { log };
    }

    /// Returns the part of the pace that still holds, from 1 to 0.
    fn validity(&self, now: Time) -> f64 {
        let Some(at) = self.learned_at else {
            return 0.0;
        };
        let age_ms = now.millis_since(at);
        if age_ms >= FORGOTTEN_MS {
            return 0.0;
        }
        let relaxed_ms = (age_ms as f64 - HOLDS_MS).max(0.0);
        (-relaxed_ms / RELAXES_MS).exp()
    }

    /// Returns the factor by which the server is slower than the median of its service.
    pub(crate) fn pace(&self, now: Time) -> f64 {
        if self.log == 0.0 {
            return 1.0;
        }
        let pace = (self.log * self.validity(now)).exp();
        pace.clamp(PACE_RANGE.0, PACE_RANGE.1)
    }
}
