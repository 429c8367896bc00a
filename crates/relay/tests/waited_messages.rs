//! Messages that waited while their receiver was paused. Each was sent and arrived at a time, and was read
//! later, so that the ages in it are too small by then.

mod common;

use common::at;
use policy::Arrival;
use relay::CrashEvidence;
use relay::SuspectKey;

/// Delivers what a router knows of suspects to one that reads it later than it arrived.
fn send(from: &mut CrashEvidence, to: &mut CrashEvidence, sent_ms: u64, read_ms: u64) {
    for update in from.next_updates(at(sent_ms)) {
        to.merge(Arrival::between(at(sent_ms), at(read_ms)), &update, false);
    }
}

// Guards against BUDGET: a router that was paused takes a complete response for a later one, and with it
// clears a part that crashes servers, at all routers.
#[test]
fn a_complete_response_clears_no_crashes_that_came_long_after_it() {
    let part = SuspectKey::Part(7);
    let (mut first, mut paused) = (CrashEvidence::default(), CrashEvidence::default());
    first.clear(at(0), part);
    first.add_strike(at(3_000), part, 0);
    send(&mut first, &mut paused, 3_000, 8_000);
    for server in 1..5 {
        first.add_strike(at(4_000), part, server);
    }

    send(&mut first, &mut paused, 8_100, 8_100);
    send(&mut paused, &mut first, 8_200, 8_200);

    assert!(first.is_blocked(at(8_300), part));
    assert!(paused.is_blocked(at(8_300), part));
}
