//! Interruptions of calls to the store, and whether they excuse registrations that are gone.

use policy::Time;
use relay::StoreInterruption;

const HEARTBEAT_MS: u64 = 1_200;

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

/// Plays interruptions, each from the last response to the next one. Returns whether registrations
/// may have lapsed by the end of the last.
fn may_lapse_after(interruptions: &[(u64, u64)]) -> bool {
    let mut interruption = StoreInterruption::new(at(0), HEARTBEAT_MS);
    let mut may_lapse = false;
    for (from, to) in interruptions {
        interruption.begin(at(*from));
        may_lapse = interruption.may_lapse(at(*to));
        interruption.end(at(*to));
    }
    may_lapse
}

// Guards against DRAIN: a server that has left is kept, as its registration might have lapsed.
#[test]
fn a_short_interruption_removes_no_registration() {
    assert!(!may_lapse_after(&[(10_000, 11_600)]));
    assert!(!may_lapse_after(&[(10_000, 12_399)]));
}

#[test]
fn a_long_interruption_may_remove_registrations() {
    assert!(may_lapse_after(&[(10_000, 12_400)]));
}

// Guards against live servers that count as gone after a store that was away twice.
#[test]
fn interruptions_without_time_for_a_heartbeat_between_them_are_one() {
    assert!(may_lapse_after(&[(10_000, 11_500), (12_600, 13_500)]));
    assert!(!may_lapse_after(&[(10_000, 11_500), (12_800, 14_500)]));
}

// Guards against a router that has just started, and knows nothing of what was before.
#[test]
fn an_interruption_just_after_the_start_counts_from_the_start() {
    assert!(may_lapse_after(&[(500, 2_500)]));
    assert!(!may_lapse_after(&[(500, 2_300)]));
}
