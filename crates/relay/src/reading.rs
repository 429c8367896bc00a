//! Time that an engine takes to read a prompt.

/// Prompt tokens that an engine reads in a millisecond, as the sheets of both deployments say.
const TOKENS_PER_MS: f64 = 55.0;

/// Time that a million pairs of a new token and one before it take, in milliseconds.
const PAIRS_MS_PER_MILLION: f64 = 0.37;

/// Returns the time to read `new` tokens after `caches_prefix` ones that are cached, in milliseconds.
pub fn reading_ms(caches_prefix: u64, new: u64) -> f64 {
    let (caches_prefix, new) = (caches_prefix as f64, new as f64);
    let pairs = new * (caches_prefix + new / 2.0) / 1_000_000.0;
    new / TOKENS_PER_MS + pairs * PAIRS_MS_PER_MILLION
}
