//! Pauses between calls to a store that fails.

use relay::StoreAccess;

/// Time after which the platform expects a router that reaches the store again to know which
/// servers have left, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;

/// Longest call to a slow store, in milliseconds.
const SLOW_CALL_MS: u64 = 500;

#[test]
fn a_router_that_no_other_reads_for_knows_who_left_in_time_after_the_store_is_back() {
    for access in [StoreAccess::Direct, StoreAccess::HubLost] {
        let longest_ms = *access.retry_pause_ms().end();
        // One call shows that the store is back, the next reads the registrations.
        assert!(
            longest_ms + 2 * SLOW_CALL_MS <= STABLE_WINDOW_MS,
            "{access:?}"
        );
    }
}
