//! Estimate of the time that an engine takes to prefill a prompt.

/// Prompt tokens that an engine prefills per millisecond, from the data sheets of both
/// deployments.
const TOKENS_PER_MS: f64 = 55.0;

/// Time for one million pairs of a new token and a preceding one, in milliseconds.
const MS_PER_MILLION_TOKEN_PAIRS: f64 = 0.37;

/// Returns the time to prefill `new` tokens after `cached` ones that need no prefill, in
/// milliseconds.
pub fn prefill_ms(cached: u64, new: u64) -> f64 {
    let (cached, new) = (cached as f64, new as f64);
    let million_pairs = new * (cached + new / 2.0) / 1_000_000.0;
    new / TOKENS_PER_MS + million_pairs * MS_PER_MILLION_TOKEN_PAIRS
}
