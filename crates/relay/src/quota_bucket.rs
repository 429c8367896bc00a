//! Token bucket of one workspace at the allocator.
//!
//! What was granted and may not be spent yet counts beside what the bucket holds: both together
//! never exceed the burst by more than a second's rate, so that grants that are returned and
//! granted again don't add up.

use std::collections::VecDeque;

use policy::Time;

use crate::quota_votes::QuotaShare;
use crate::Quota;

/// Fractions of a unit in which a bucket counts, so that a refill of a microsecond isn't rounded.
const PARTS: i128 = 1_000_000;

/// Longest time for which a bucket is filled in one step, in microseconds.
const MAX_STEP_US: u64 = 1 << 40;

/// Time after a grant in which its units may still be returned, in milliseconds.
const RETURNABLE_MS: u64 = 900;

/// Longest time for which a router is put off, in milliseconds, and the same for some time after
/// the share grew, as it may grow on.
const LATEST_TURN_MS: u64 = 8_000;
const GROWING_TURN_MS: u64 = 700;
const GROWING_MS: u64 = 1_000;

/// Units granted to a router.
#[derive(Clone, Copy, Debug)]
struct Granted {
    at: Time,
    router: u64,
    units: u64,
}

/// What an allocator may still grant of one quota.
#[derive(Clone, Debug)]
pub(crate) struct QuotaBucket {
    quota: Quota,
    share: QuotaShare,
    /// What it holds, in millionths of a unit; negative after a grant of more.
    level: i128,
    filled_at: Time,
    /// Grants that may not be spent yet.
    granted: VecDeque<Granted>,
    granted_units: i128,
    /// When the share last grew.
    grown_at: Time,
}

impl QuotaBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(now: Time, quota: Quota, share: QuotaShare) -> QuotaBucket {
        QuotaBucket {
            quota,
            share,
            level: 0,
            filled_at: now,
            granted: VecDeque::new(),
            granted_units: 0,
            grown_at: now,
        }
    }

    /// Replaces the quota; what the bucket holds is cut to the new burst.
    pub(crate) fn set_quota(&mut self, now: Time, quota: Quota) {
        self.fill(now);
        self.quota = quota;
        self.cut();
    }

    /// Replaces the share of the quota; what the bucket holds is cut to its share of the burst.
    pub(crate) fn set_share(&mut self, now: Time, share: QuotaShare) {
        self.fill(now);
        if share.of(PARTS) > self.share.of(PARTS) {
            self.grown_at = now;
        }
        self.share = share;
        self.cut();
    }

    /// Returns the units added in a time.
    pub(crate) fn units_in(&self, ms: u64) -> i128 {
        let units = i128::from(self.quota.rate_per_s) * i128::from(ms) / 1_000;
        self.share.of(units)
    }

    /// Returns the time in which as many units are added, in milliseconds.
    pub(crate) fn millis_for(&self, units: i128) -> u64 {
        let rate = self.share.of(i128::from(self.quota.rate_per_s)).max(1);
        let ms = (units.max(0) * 1_000 + rate - 1) / rate;
        u64::try_from(ms).unwrap_or(u64::MAX)
    }

    /// Returns the longest time for which a router may be put off, in milliseconds.
    pub(crate) fn latest_turn_ms(&self, now: Time) -> u64 {
        match now.millis_since(self.grown_at) < GROWING_MS {
            true => GROWING_TURN_MS,
            false => LATEST_TURN_MS,
        }
    }

    /// Returns the units that the bucket holds at `now`.
    pub(crate) fn level(&mut self, now: Time) -> i128 {
        self.fill(now);
        self.level.div_euclid(PARTS)
    }

    /// Returns the most units that the bucket can hold: its share of the burst, or of a tenth of
    /// a second's rate if that is more.
    pub(crate) fn capacity(&self) -> i128 {
        let least = (self.quota.rate_per_s / 10).max(1);
        let burst = self.quota.burst.max(least);
        self.share.of(i128::from(burst) * PARTS) / PARTS
    }

    /// Takes units for a router.
    pub(crate) fn grant(&mut self, now: Time, router: u64, units: u64) {
        self.level -= i128::from(units) * PARTS;
        self.granted_units += i128::from(units);
        self.granted.push_back(Granted {
            at: now,
            router,
            units,
        });
    }

    /// Takes units back that a router was granted, as far as they are returned in time.
    pub(crate) fn take_back(&mut self, now: Time, router: u64, units: u64) {
        self.fill(now);
        let mut left = units;
        for granted in self.granted.iter_mut().filter(|g| g.router == router) {
            let returned = granted.units.min(left);
            granted.units -= returned;
            left -= returned;
        }
        let returned = i128::from(units - left);
        self.granted_units -= returned;
        self.level += returned * PARTS;
        self.cut();
    }

    fn fill(&mut self, now: Time) {
        let elapsed_us = now.micros_since(self.filled_at).min(MAX_STEP_US);
        self.filled_at = self.filled_at.max(now);
        let added = i128::from(self.quota.rate_per_s) * i128::from(elapsed_us);
        self.level += self.share.of(added);
        while let Some(first) = self.granted.front().copied() {
            if now.millis_since(first.at) < RETURNABLE_MS {
                break;
            }
            self.granted.pop_front();
            self.granted_units -= i128::from(first.units);
        }
        self.cut();
    }

    fn cut(&mut self) {
        let capacity = self.capacity();
        let at_most = capacity + self.units_in(RETURNABLE_MS) - self.granted_units;
        let at_most = at_most.clamp(0, capacity);
        self.level = self.level.min(at_most * PARTS);
    }
}
