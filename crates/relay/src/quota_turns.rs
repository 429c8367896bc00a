//! The order in which routers get units of a quota that is used up.
//!
//! Each router is notified of the time of its turn, and refuses requests until then without a message. The
//! turns lie as far apart as the quota takes to make up for the units granted in one. A router in
//! its turn gets units in advance, and until these are spent also what a longer request needs.

use std::collections::BTreeMap;

use policy::Time;

/// Time for which a router is in its turn after it got units, in milliseconds; then they expire.
const TURN_MS: u64 = 700;

/// Time for which a priority counts as asking, in milliseconds.
const ASKING_MS: u64 = 1_000;

/// Least time until a router's next turn, in milliseconds.
const LEAST_WAIT_MS: u64 = 20;

/// Time for which a turn is kept for a router that doesn't come, in milliseconds.
const KEPT_MS: u64 = 2_000;

/// Weight that former turns keep at each new one, when the units of a turn are averaged.
const FORMER_WEIGHT: f64 = 0.95;

/// What decides how far apart the turns lie.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnPace {
    /// Time in which the bucket is filled far enough for a grant, in milliseconds.
    pub(crate) fills_ms: u64,
    /// Longest time until a turn, in milliseconds.
    pub(crate) latest_ms: u64,
    /// Time in which the units of an average turn are added, in milliseconds.
    pub(crate) turn_ms: f64,
    /// Part of that time by which turns lie apart: less while the bucket holds units.
    pub(crate) spread: f64,
}

/// Turns of the routers at one quota.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTurns {
    /// When each router's turn is.
    promised: BTreeMap<u64, Time>,
    /// Until when each router is in its turn.
    serving: BTreeMap<u64, Time>,
    /// From when the next turn is free.
    next_at: Time,
    /// From when the next turn is free for a router that found the bucket empty in its turn.
    late_at: Time,
    /// When each priority last asked.
    asked_at: BTreeMap<u32, Time>,
    /// Units granted in recent turns, and their number.
    units: f64,
    turns: f64,
}

impl QuotaTurns {
    /// Records that requests of a priority ask.
    pub(crate) fn record(&mut self, now: Time, priority: u32) {
        self.asked_at.insert(priority, now);
        self.asked_at
            .retain(|_, at| now.millis_since(*at) < ASKING_MS);
        self.serving.retain(|_, until| *until > now);
        self.promised
            .retain(|_, at| now.millis_since(*at) < KEPT_MS);
    }

    /// Returns whether a higher priority asks.
    pub(crate) fn is_outranked(&self, priority: u32) -> bool {
        self.asked_at.keys().any(|other| *other < priority)
    }

    /// Returns whether a lower priority asks.
    pub(crate) fn outranks(&self, priority: u32) -> bool {
        self.asked_at.keys().any(|other| *other > priority)
    }

    /// Returns whether a router is in its turn.
    pub(crate) fn is_serving(&self, router: u64) -> bool {
        self.serving.contains_key(&router)
    }

    /// Begins a router's turn.
    pub(crate) fn begin(&mut self, now: Time, router: u64) {
        self.serving.insert(router, now.plus_millis(TURN_MS));
        self.promised.remove(&router);
        self.units *= FORMER_WEIGHT;
        self.turns = self.turns * FORMER_WEIGHT + 1.0;
    }

    /// Records the units granted in a turn.
    pub(crate) fn add(&mut self, units: u64) {
        self.units += units as f64;
    }

    /// Ends a router's turn.
    pub(crate) fn end(&mut self, router: u64) {
        self.serving.remove(&router);
    }

    /// Returns the average units of a turn.
    pub(crate) fn average_units(&self) -> f64 {
        self.units / self.turns.max(1.0)
    }

    /// Returns the time until the next turn of a router, in milliseconds.
    pub(crate) fn wait_ms(&mut self, now: Time, router: u64, pace: TurnPace) -> u64 {
        let filled_at = now.plus_millis(pace.fills_ms);
        let at = match self.promised.get(&router) {
            Some(at) if *at > now => *at,
            Some(_) => self.put_off(filled_at, pace),
            None => self.promise(now, router, filled_at, pace),
        };
        let ms = at.micros_since(now).div_ceil(1_000);
        ms.min(pace.latest_ms).max(LEAST_WAIT_MS)
    }

    fn put_off(&mut self, filled_at: Time, pace: TurnPace) -> Time {
        let at = self.late_at.max(filled_at);
        self.late_at = at.plus_micros((pace.turn_ms * 1_000.0) as u64);
        at
    }

    fn promise(&mut self, now: Time, router: u64, filled_at: Time, pace: TurnPace) -> Time {
        let latest = now.plus_millis(pace.latest_ms);
        let at = self.next_at.max(filled_at).min(latest);
        let apart_us = (pace.turn_ms * pace.spread * 1_000.0) as u64;
        self.next_at = at.plus_micros(apart_us);
        self.promised.insert(router, at);
        at
    }
}
