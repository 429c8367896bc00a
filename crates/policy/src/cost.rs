//! Cost of serving a request at an engine.

use crate::load_view::LoadView;
use crate::placement::Ask;
use crate::Settings;
use crate::Time;
use crate::BLOCK_TOKENS;

/// Time that an engine spends on each request besides prefill, in microseconds.
const OVERHEAD_US: u64 = 5_000;

/// Speed of the links between engines of a cell, in bytes per microsecond.
const LINK_BYTES_PER_US: f64 = 1_250.0;

/// Time to begin a fetch, in microseconds.
const FETCH_START_US: u64 = 2_000;

/// Wait at an engine that adds the queue price to the price of a copy, in microseconds.
const QUEUE_UNIT_US: f64 = 100_000.0;

/// Engine that holds more of a prompt's first pieces than the one that is to serve it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder<'a> {
    pub(crate) held: usize,
    pub(crate) load: &'a LoadView,
}

/// A way to serve a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Time in the queue, in microseconds.
    pub(crate) wait_us: u64,
    /// Time of prefill, in microseconds.
    pub(crate) work_us: u64,
    /// Time of the transfer, if pieces are fetched, in microseconds.
    pub(crate) transfer_us: u64,
    /// Times and prices together, in microseconds.
    pub(crate) cost_us: f64,
}

impl Ask {
    /// Returns the time to compute what `held` pieces leave, in microseconds.
    pub(crate) fn work_us(&self, held: usize) -> u64 {
        let cached = held as u64 * BLOCK_TOKENS;
        let tokens = self.prompt_tokens.saturating_sub(cached);
        OVERHEAD_US + (tokens as f64 * self.prefill_us_per_token) as u64
    }

    /// Estimates recomputation at an engine that holds `held` pieces, while
    /// another in reach holds `best`.
    pub(crate) fn recompute(
        &self,
        now: Time,
        settings: &Settings,
        load: &LoadView,
        held: usize,
        best: usize,
    ) -> Estimate {
        let wait_us = load.wait_us(now);
        let work_us = self.work_us(held);
        let wasted = best.saturating_sub(held) as u64 * BLOCK_TOKENS;
        let copies_us = self.copies_us(now, settings, load, wasted);
        Estimate {
            wait_us,
            work_us,
            transfer_us: 0,
            cost_us: (wait_us + work_us) as f64 + copies_us,
        }
    }

    /// Estimates a fetch of the pieces that `from` holds besides the first `held`.
    pub(crate) fn fetch(
        &self,
        now: Time,
        settings: &Settings,
        load: &LoadView,
        held: usize,
        from: Holder<'_>,
    ) -> Estimate {
        let wait_us = load.wait_us(now);
        let work_us = self.work_us(from.held);
        let tokens = (from.held - held) as u64 * BLOCK_TOKENS;
        let bytes = tokens * self.kv_bytes_per_token;
        let transfer_us = FETCH_START_US + (bytes as f64 / LINK_BYTES_PER_US) as u64;
        let arrival_us = from.load.link_wait_us(now) + transfer_us;
        let wait_us = wait_us.max(arrival_us);
        Estimate {
            wait_us,
            work_us,
            transfer_us,
            cost_us: (wait_us + work_us) as f64 + self.copies_us(now, settings, load, tokens),
        }
    }

    /// Returns the price of holding tokens at one more engine.
    ///
    /// A copy evicts other pieces, and the work that follows delays all that
    /// wait at the engine, so the price grows with its queue.
    fn copies_us(&self, now: Time, settings: &Settings, load: &LoadView, tokens: u64) -> f64 {
        let queue = load.wait_us(now) as f64 / QUEUE_UNIT_US;
        let price = settings.copy_price + settings.queue_price * queue;
        let per_token = self.prefill_us_per_token * price;
        tokens as f64 * (per_token + self.weights.recompute_ms_per_1000_tokens)
    }
}
