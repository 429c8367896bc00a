//! Rendezvous hashing: every router computes the same ranking without shared state.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the hash of a name, as used by [`weight`].
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the hash of a byte string.
pub fn bytes_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the weight of a candidate for a key; the candidate with the highest weight ranks first.
pub fn weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Returns the score of a candidate that ranks first for a fraction of the keys
/// proportional to `size`; the highest score ranks first.
pub(crate) fn sized_score(key: u64, candidate: u64, size: usize) -> f64 {
    let uniform = (weight(key, candidate) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -(size as f64) / uniform.ln()
}
