//! Measurements of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counters of one run.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Times to first token, in microseconds.
    pub ttft_us: Vec<u64>,
    /// Tokens in complete blocks of the prompts served.
    pub prefix_tokens: u64,
    /// Prefix tokens that were not computed: cached or fetched before the prefill.
    pub reused_tokens: u64,
    /// Tokens in blocks fetched from other engines and reused.
    pub fetched_tokens: u64,
    /// Tokens computed although another running engine cached or computed them.
    pub wasted_tokens: u64,
    /// Tokens computed in complete blocks that no other running engine cached or computed.
    pub unavoidable_tokens: u64,
    /// Traffic between regions, in bytes.
    pub cross_region_bytes: u64,
    /// Number of refused requests by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Control traffic of all routers, in bytes.
    pub control_bytes: u64,
    /// Total prefill time of all engines, in microseconds.
    pub busy_us: u64,
}

/// Results of one run, or their means or standard deviations over several runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Fraction of the prefix tokens that were not computed.
    pub hit_rate: f64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Tokens computed although another running engine cached or computed them.
    pub wasted_tokens: f64,
    /// Tokens computed in complete blocks that no other running engine cached or computed.
    pub unavoidable_tokens: f64,
    /// Tokens in blocks fetched from other engines and reused.
    pub fetched_tokens: f64,
    /// Traffic between regions, in bytes.
    pub cross_region_bytes: f64,
    /// Control traffic per router, in bytes per second.
    pub control_bytes_per_router_s: f64,
    /// Fraction of the engines' total time that was spent on prefill.
    pub busy: f64,
}

impl Figures {
    /// Computes the results of a run whose measured period lasted `seconds`.
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

    /// Returns the means and the sample standard deviations of several runs.
    pub fn summary(runs: &[Figures]) -> (Figures, Figures) {
        let mean = Figures::from_fields(|get| mean(runs, get));
        let deviation = Figures::from_fields(|get| standard_deviation(runs, get));
        (mean, deviation)
    }

    /// Builds results by applying `f` to the accessor of each field.
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

/// Returns a percentile of sorted times in milliseconds, or 0 without any.
fn percentile_ms(sorted_us: &[u64], percent: usize) -> f64 {
    if sorted_us.is_empty() {
        return 0.0;
    }
    let index = (sorted_us.len() * percent / 100).min(sorted_us.len() - 1);
    sorted_us[index] as f64 / 1_000.0
}
