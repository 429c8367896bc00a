//! What is known of the time of an announcement never makes it seem later than it was.

mod common;

use common::at;
use common::no_weights;
use common::MODEL;
use policy::Arrival;

/// Time within which replaced weights may be used, in milliseconds.
const DUE_MS: u64 = 7_000;

// Guards against VERSION: an older announcement that becomes known after a newer one.
#[test]
fn an_older_version_that_becomes_known_later_postpones_nothing() {
    let mut weights = no_weights(DUE_MS);
    weights.announce(Arrival::at(at(1_000)), MODEL, 3, 0);
    weights.announce(Arrival::at(at(5_000)), MODEL, 2, 0);

    assert_eq!(weights.replaced_by(MODEL, 1), Some(at(1_000)));
}
