//! What a run measures.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counters of a run.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Times to first token, in microseconds.
    pub ttft_us: Vec<u64>,
    /// Prompt tokens in whole pieces of served requests.
    pub prefix_tokens: u64,
    /// Those of them that weren't computed.
    pub reused_tokens: u64,
    /// Tokens of pieces fetched from other engines.
    pub fetched_tokens: u64,
    /// Tokens computed though a live engine held or computed them.
    pub wasted_tokens: u64,
    /// Tokens of whole pieces computed that no live engine held or computed.
    pub unavoidable_tokens: u64,
    /// Bytes that crossed a border between regions.
    pub cross_region_bytes: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Bytes that routers exchanged for control.
    pub control_bytes: u64,
    /// Time that the engines spent on prefill, in microseconds.
    pub busy_us: u64,
}

/// A row of the table: the figures of one run, or their means.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Part of the prefix tokens that weren't computed.
    pub hit_rate: f64,
    /// Median time to first token.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the time to first token.
    pub ttft_p99_ms: f64,
    /// Tokens computed though a live engine held or computed them.
    pub wasted_tokens: f64,
    /// Tokens computed that no live engine held or computed.
    pub unavoidable_tokens: f64,
    /// Tokens fetched from other engines.
    pub fetched_tokens: f64,
    /// Bytes that crossed a border between regions.
    pub cross_region_bytes: f64,
    /// Bytes of control for a router in a second.
    pub control_bytes_per_router_s: f64,
    /// Part of the engines' time spent on prefill.
    pub busy: f64,
}

impl Figures {
    /// Works out the figures of a run.
    pub fn new(measures: &Measures, routers: usize, engines: usize, seconds: f64) -> Figures {
        let mut ttft = measures.ttft_us.clone();
        ttft.sort_unstable();
        Figures {
            hit_rate: measures.reused_tokens as f64 / measures.prefix_tokens.max(1) as f64,
            ttft_p50_ms: percentile_ms(&ttft, 50),
            ttft_p95_ms: percentile_ms(&ttft, 95),
            ttft_p99_ms: percentile_ms(&ttft, 99),
            wasted_tokens: measures.wasted_tokens as f64,
            unavoidable_tokens: measures.unavoidable_tokens as f64,
            fetched_tokens: measures.fetched_tokens as f64,
            cross_region_bytes: measures.cross_region_bytes as f64,
            control_bytes_per_router_s: measures.control_bytes as f64 / routers as f64 / seconds,
            busy: measures.busy_us as f64 / 1e6 / engines as f64 / seconds,
        }
    }

    /// Returns means and standard deviations.
    pub fn summary(runs: &[Figures]) -> (Figures, Figures) {
        let mean = Figures::from_fields(|get| mean(runs, get));
        let deviation = Figures::from_fields(|get| standard_deviation(runs, get));
        (mean, deviation)
    }

    fn from_fields<F>(f: F) -> Figures
    where
        F: Fn(fn(&Figures) -> f64) -> f64,
    {
        Figures {
            hit_rate: f(|r| r.hit_rate),
            ttft_p50_ms: f(|r| r.ttft_p50_ms),
            ttft_p95_ms: f(|r| r.ttft_p95_ms),
            ttft_p99_ms: f(|r| r.ttft_p99_ms),
            wasted_tokens: f(|r| r.wasted_tokens),
            unavoidable_tokens: f(|r| r.unavoidable_tokens),
            fetched_tokens: f(|r| r.fetched_tokens),
            cross_region_bytes: f(|r| r.cross_region_bytes),
            control_bytes_per_router_s: f(|r| r.control_bytes_per_router_s),
            busy: f(|r| r.busy),
        }
    }
}

fn mean(runs: &[Figures], get: fn(&Figures) -> f64) -> f64 {
    runs.iter().map(get).sum::<f64>() / runs.len().max(1) as f64
}

fn standard_deviation(runs: &[Figures], get: fn(&Figures) -> f64) -> f64 {
    let mean = mean(runs, get);
    let squares: f64 = runs.iter().map(|r| (get(r) - mean).powi(2)).sum();
    (squares / runs.len().saturating_sub(1).max(1) as f64).sqrt()
}

fn percentile_ms(sorted_us: &[u64], percent: usize) -> f64 {
    if sorted_us.is_empty() {
        return 0.0;
    }
    let index = (sorted_us.len() * percent / 100).min(sorted_us.len() - 1);
    sorted_us[index] as f64 / 1_000.0
}
