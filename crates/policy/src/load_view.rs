//! Estimated load of one engine: its last report plus the work sent since.

use std::collections::VecDeque;

use crate::Time;

/// Time that a sent request may take to be included in load reports, in microseconds.
const REPORT_LAG_US: u64 = 10_000;

/// Time after which sent work is dropped if no report has included it, in microseconds.
const SENT_TTL_US: u64 = 5_000_000;

/// Weight of the latest report in the moving average of other routers' work.
const EXTERNAL_RATE_GAIN: f64 = 0.1;

/// Work that this router sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentWork {
    at: Time,
    work_us: u64,
}

/// Estimated load of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadView {
    busy_until: Time,
    reported_at: Time,
    /// Time at which the queue of the last report ends.
    reported_busy_until: Time,
    /// Work sent by other routers, as a fraction of the engine's capacity.
    external_rate: f64,
    sent: VecDeque<SentWork>,
    link_free_at: Time,
}

impl LoadView {
    /// Applies a report that `queued_us` of work were queued at `at`.
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

    /// Returns the queue expected at `at`, in microseconds, and drops the sent
    /// work that a report of that time includes.
    fn take_expected_queue_us(&mut self, at: Time) -> u64 {
        let mut busy_until = self.reported_busy_until;
        while let Some(first) = self.sent.front() {
            if first.at.plus_micros(REPORT_LAG_US) > at {
                break;
            }
            busy_until = busy_until.max(first.at).plus_micros(first.work_us);
            self.sent.pop_front();
        }
        busy_until.micros_since(at)
    }

    /// Updates the estimate of other routers' work from the difference between
    /// the reported and the expected queue.
    fn update_external_rate(&mut self, at: Time, queued_us: u64, expected_us: u64) {
        if self.reported_at == Time::default() {
            return;
        }
        let interval_us = at.micros_since(self.reported_at) as f64;
        let surplus = (queued_us as f64 - expected_us as f64) / interval_us;
        self.external_rate += (surplus - self.external_rate) * EXTERNAL_RATE_GAIN;
    }

    /// Records that work is sent to the engine.
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

    /// Records that sent work turned out larger than expected.
    pub(crate) fn on_extra_work(&mut self, now: Time, work_us: u64) {
        self.busy_until = self.busy_until.max(now).plus_micros(work_us);
    }

    /// Returns the expected wait for new work, in microseconds.
    pub(crate) fn wait_us(&self, now: Time) -> u64 {
        let known_us = self.busy_until.micros_since(now);
        let external_us = self.external_rate.max(0.0)
            * now.micros_since(self.reported_at).min(SENT_TTL_US) as f64;
        known_us + external_us as u64
    }

    /// Records that the engine exports blocks to another for `transfer_us`;
    /// returns the time at which the export ends.
    pub(crate) fn on_export(&mut self, now: Time, transfer_us: u64) -> Time {
        self.link_free_at = self.link_free_at.max(now).plus_micros(transfer_us);
        self.link_free_at
    }

    /// Returns the wait of an export for the engine's link, in microseconds.
    pub(crate) fn link_wait_us(&self, now: Time) -> u64 {
        self.link_free_at.micros_since(now)
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        size_of::<LoadView>() + self.sent.capacity() * size_of::<SentWork>()
    }
}
