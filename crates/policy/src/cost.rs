//! Estimated cost of serving a request on an engine.

use crate::load_view::LoadView;
use crate::placement::PlacementRequest;
use crate::Settings;
use crate::Time;
use crate::BLOCK_TOKENS;

/// Time that an engine spends on each request besides prefill, in microseconds.
const REQUEST_OVERHEAD_US: u64 = 5_000;

/// Bandwidth of the links between engines of a cell, in bytes per microsecond.
const LINK_BYTES_PER_US: f64 = 1_250.0;

/// Time to set up a fetch, in microseconds.
const FETCH_START_US: u64 = 2_000;

/// Wait at an engine for which `queue_price` is added once to the copy price, in microseconds.
const QUEUE_UNIT_US: f64 = 100_000.0;

/// An engine that holds more of the prompt's leading blocks than the candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheHolder<'a> {
    /// Number of leading blocks that it holds.
    pub(crate) held: usize,
    pub(crate) load: &'a LoadView,
}

/// Estimated times and cost of serving a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Time until prefill begins, for the queue and the transfer, in microseconds.
    pub(crate) wait_us: u64,
    /// Time for prefill and the overhead of a request, in microseconds.
    pub(crate) work_us: u64,
    /// Time to transfer fetched blocks, in microseconds; 0 without a fetch.
    pub(crate) transfer_us: u64,
    /// Wait, work and the price of copies together, in microseconds.
    pub(crate) cost_us: f64,
}

impl PlacementRequest {
    /// Returns the time to compute the prompt if `held` leading blocks are cached, in microseconds.
    pub(crate) fn work_us(&self, held: usize) -> u64 {
        let cached = held as u64 * BLOCK_TOKENS;
        let tokens = self.prompt_tokens.saturating_sub(cached);
        REQUEST_OVERHEAD_US + (tokens as f64 * self.prefill_us_per_token) as u64
    }

    /// Estimates the cost on an engine that holds `held` leading blocks and
    /// computes the rest; `best` is the most that any eligible engine holds.
    pub(crate) fn estimate_recompute(
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
        let copy_price_us = self.copy_price_us(now, settings, load, wasted);
        Estimate {
            wait_us,
            work_us,
            transfer_us: 0,
            cost_us: (wait_us + work_us) as f64 + copy_price_us,
        }
    }

    /// Estimates the cost on an engine that holds `held` leading blocks and
    /// fetches the further ones that `from` holds.
    pub(crate) fn estimate_fetch(
        &self,
        now: Time,
        settings: &Settings,
        load: &LoadView,
        held: usize,
        from: CacheHolder<'_>,
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
            cost_us: (wait_us + work_us) as f64 + self.copy_price_us(now, settings, load, tokens),
        }
    }

    /// Returns the price of holding `tokens` on one more engine, in
    /// microseconds.
    ///
    /// A copy evicts other blocks, and recomputing those delays all requests
    /// waiting at the engine, so the price grows with its queue.
    fn copy_price_us(&self, now: Time, settings: &Settings, load: &LoadView, tokens: u64) -> f64 {
        let queue = load.wait_us(now) as f64 / QUEUE_UNIT_US;
        let price = settings.copy_price + settings.queue_price * queue;
        let per_token = self.prefill_us_per_token * price;
        tokens as f64 * (per_token + self.weights.recompute_ms_per_1000_tokens)
    }
}
