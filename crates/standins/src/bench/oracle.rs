//! Choice of the engine of lowest cost, given the state of every cache and queue.

use policy::BLOCK_TOKENS;

use crate::bench::engine::Engine;
use crate::bench::router::SimulationView;
use crate::bench::setup::Setup;
use crate::bench::world::block_keys;

/// Cost of caching tokens on one more engine, as a fraction of the time to compute them.
///
/// Without it, a greedy choice fills the caches with copies and collapses under load.
const COPY_PRICE: f64 = 1.0;

/// A way to serve a request, with its cost in microseconds.
struct Candidate {
    cost_us: f64,
    engine: usize,
    fetch_from: Option<usize>,
}

/// Returns the choice of lowest cost among the given engines, with and without a fetch.
pub(crate) fn oracle(
    now_us: u64,
    request: usize,
    candidate_engines: &[usize],
    view: &SimulationView<'_>,
) -> Option<(usize, Option<(usize, u64)>)> {
    let req = &view.requests[request];
    let keys = block_keys(req);
    let cached_blocks: Vec<usize> = candidate_engines
        .iter()
        .map(|i| view.engines[*i].cache.cached_prefix(&keys))
        .collect();
    let most_cached_blocks = cached_blocks.iter().copied().max().unwrap_or(0);
    let mut candidates = Vec::new();
    for engine in candidate_engines.iter().copied() {
        let target = &view.engines[engine];
        let own = target.future_prefix(&keys);
        candidates.push(candidate(
            now_us,
            request,
            engine,
            own,
            most_cached_blocks,
            view,
        ));
        let holder =
            candidate_engines
                .iter()
                .zip(&cached_blocks)
                .max_by_key(|(i, cached_blocks)| {
                    let is_same_region =
                        view.setup.engine_region(**i) == view.setup.engine_region(engine);
                    (**cached_blocks, is_same_region)
                });
        if let Some((holder, cached_blocks)) =
            holder.filter(|(i, cached_blocks)| **i != engine && **cached_blocks > own)
        {
            candidates.push(fetch_candidate(
                now_us,
                request,
                engine,
                own,
                *holder,
                *cached_blocks,
                view,
            ));
        }
    }
    let best = candidates
        .into_iter()
        .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?;
    let fetch_from = best
        .fetch_from
        .map(|holder| (holder, view.engines[holder].incarnation));
    Some((best.engine, fetch_from))
}

/// Returns the candidate without a fetch for an engine that has `cached` of the request's blocks.
fn candidate(
    now_us: u64,
    request: usize,
    engine: usize,
    cached: usize,
    most_cached_blocks: usize,
    view: &SimulationView<'_>,
) -> Candidate {
    let req = &view.requests[request];
    let setup = view.setup;
    let from = setup.router_region(req.router);
    let to = setup.engine_region(engine);
    let tokens = req.prompt_tokens - cached as u64 * BLOCK_TOKENS;
    let wasted = most_cached_blocks.saturating_sub(cached) as u64 * BLOCK_TOKENS;
    let mut cost_us = view.engines[engine].wait_us(now_us, req.kind.rank) as f64;
    cost_us += tokens as f64 * setup.prefill_us_per_token;
    cost_us += wasted as f64 * setup.recompute_ms_per_1000_tokens;
    cost_us += copy_price_us(wasted, setup);
    cost_us += 2.0 * setup.latency_us(from, to) as f64;
    if from != to {
        let bytes = req.prompt_tokens * policy::BYTES_PER_TOKEN;
        cost_us += traffic_price_us(bytes, setup.cross_region_ms_per_mb);
    }
    Candidate {
        cost_us,
        engine,
        fetch_from: None,
    }
}

/// Returns the candidate for an engine that fetches blocks from `holder` first.
fn fetch_candidate(
    now_us: u64,
    request: usize,
    engine: usize,
    own: usize,
    holder: usize,
    cached_blocks: usize,
    view: &SimulationView<'_>,
) -> Candidate {
    let setup = view.setup;
    let source: &Engine = &view.engines[holder];
    let bytes = (cached_blocks - own) as u64 * BLOCK_TOKENS * setup.kv_bytes_per_token;
    let is_same_region = setup.engine_region(engine) == setup.engine_region(holder);
    let (speed, price) = match is_same_region {
        true => (setup.region_bytes_per_us, 0.0),
        false => (
            setup.cross_region_bytes_per_us,
            traffic_price_us(bytes, setup.cross_region_ms_per_mb),
        ),
    };
    let link_wait = source.link_free_us.saturating_sub(now_us) as f64;
    let fetch_us = link_wait + bytes as f64 / speed;
    let base = candidate(now_us, request, engine, cached_blocks, cached_blocks, view);
    let wait_us = view.engines[engine].wait_us(now_us, view.requests[request].kind.rank) as f64;
    let copies = copy_price_us((cached_blocks - own) as u64 * BLOCK_TOKENS, setup);
    Candidate {
        cost_us: base.cost_us + (fetch_us - wait_us).max(0.0) + price + copies,
        engine,
        fetch_from: Some(holder),
    }
}

/// Returns the cost of caching these tokens on one more engine, which evicts other blocks.
fn copy_price_us(tokens: u64, setup: &Setup) -> f64 {
    tokens as f64 * setup.prefill_us_per_token * COPY_PRICE
}

/// Returns the cost of traffic between regions, in microseconds.
fn traffic_price_us(bytes: u64, ms_per_mb: f64) -> f64 {
    bytes as f64 / 1e6 * ms_per_mb * 1_000.0
}
