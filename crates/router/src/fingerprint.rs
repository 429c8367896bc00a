//! Fingerprints by which requests with the same content are recognized.

use http::request::Parts;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::handler::EXPLAIN_PREFIX;

/// Returns the hash of a request's method, target and body.
///
/// A request to explain has the fingerprint of the request that it explains.
pub fn of(head: &Parts, body: &[u8]) -> u64 {
    let method = xxh3_64_with_seed(head.method.as_str().as_bytes(), 0);
    let target = head
        .uri
        .path_and_query()
        .map_or(head.uri.path(), |target| target.as_str());
    let target = target.strip_prefix(EXPLAIN_PREFIX).unwrap_or(target);
    let target = xxh3_64_with_seed(target.as_bytes(), method);
    xxh3_64_with_seed(body, target)
}
