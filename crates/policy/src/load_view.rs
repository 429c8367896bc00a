//! Load of one engine, as of its last report and corrected by what was sent since.

use std::collections::VecDeque;

use crate::Time;

/// Time for which a sent request may be on its way before reports include it, in microseconds.
const TRANSIT_US: u64 = 10_000;

/// Age from which a sent request no longer counts without a report, in microseconds.
const SENT_TTL_US: u64 = 5_000_000;

/// Weight of the last report in what is learned of others' work.
const EXTERNAL_RATE_GAIN: f64 = 0.1;

/// Work that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentWork {
    at: Time,
    work_us: u64,
}

/// What is known of the load of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadView {
    busy_until: Time,
    reported_at: Time,
    /// End of what the last report found waiting.
    reported_busy_until: Time,
    /// Work that others send, as a part of the engine's time.
    external_rate: f64,
    sent: VecDeque<SentWork>,
    link_free_at: Time,
}

impl LoadView {
    /// Takes in that `queued_us` of work were waiting at `at`.
    pub(crate) fn on_report(&mut self, at: Time, queued_us: u64) {
        if at <= self.reported_at {
            return;
        }
        let expected_us = self.take_expected_queue_us(at);
        self.update_external_rate(at, queued_us, expected_us);
        self.reported_at = at;
        self.reported_busy_until = at.plus_micros(queued_us);
        self.busy_until = self.reported_busy_until;
        for sent in &self.sent {
            self.busy_until = self.busy_until.max(sent.at).plus_micros(sent.work_us);
        }
    }

    /// Returns the queue expected at `at`, and forgets what a report of then includes.
    fn take_expected_queue_us(&mut self, at: Time) -> u64 {
        let mut busy_until = self.reported_busy_until;
        while let Some(first) = self.sent.front() {
            if first.at.plus_micros(TRANSIT_US) > at {
                break;
            }
            busy_until = busy_until.max(first.at).plus_micros(first.work_us);
            self.sent.pop_front();
        }
        busy_until.micros_since(at)
    }

    /// Learns how much work others send, from what a report says beyond the expected.
    fn update_external_rate(&mut self, at: Time, queued_us: u64, expected_us: u64) {
        if self.reported_at == Time::default() {
            return;
        }
        let interval_us = at.micros_since(self.reported_at) as f64;
        let surplus = (queued_us as f64 - expected_us as f64) / interval_us;
        self.external_rate += (surplus - self.external_rate) * EXTERNAL_RATE_GAIN;
    }

    /// Takes in that work is sent now.
    pub(crate) fn on_sent(&mut self, now: Time, work_us: u64) {
        while let Some(first) = self.sent.front() {
            if now.micros_since(first.at) < SENT_TTL_US {
                break;
            }
            self.sent.pop_front();
        }
        self.sent.push_back(SentWork { at: now, work_us });
        self.busy_until = self.busy_until.max(now).plus_micros(work_us);
    }

    /// Takes in that sent work turned out larger than expected.
    pub(crate) fn on_extra_work(&mut self, now: Time, work_us: u64) {
        self.busy_until = self.busy_until.max(now).plus_micros(work_us);
    }

    /// Returns how long new work would wait, in microseconds.
    pub(crate) fn wait_us(&self, now: Time) -> u64 {
        let known_us = self.busy_until.micros_since(now);
        let external_us = self.external_rate.max(0.0)
            * now.micros_since(self.reported_at).min(SENT_TTL_US) as f64;
        known_us + external_us as u64
    }

    /// Takes in that the engine exports pieces to another for `transfer_us`; returns the end.
    pub(crate) fn on_export(&mut self, now: Time, transfer_us: u64) -> Time {
        self.link_free_at = self.link_free_at.max(now).plus_micros(transfer_us);
        self.link_free_at
    }

    /// Returns how long an export would wait for the engine's link, in microseconds.
    pub(crate) fn link_wait_us(&self, now: Time) -> u64 {
        self.link_free_at.micros_since(now)
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        size_of::<LoadView>() + self.sent.capacity() * size_of::<SentWork>()
    }
}
