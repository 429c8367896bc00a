//! Messages that waited while their receiver was paused. Each was sent and arrived at a time, and was read
//! later, so that the ages in it are too small by then.

mod common;

use common::at;
use common::fleet;
use common::keys;
use policy::Arrival;
use relay::CrashEvidence;
use relay::LimitStatement;
use relay::LimitUpdate;
use relay::RateLimit;
use relay::RejectionsUpdate;
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

// Guards against sound requests that are refused by a router that was paused, as it takes the crashes of
// servers for later ones than the complete response that cleared the request.
#[test]
fn a_crash_is_cleared_by_a_complete_response_that_came_before_it_was_read() {
    let suspect = SuspectKey::Request(1);
    let (mut first, mut paused) = (CrashEvidence::default(), CrashEvidence::default());
    for server in 0..3 {
        first.add_strike(at(0), suspect, server);
    }
    send(&mut first, &mut paused, 10, 5_000);
    first.clear(at(500), suspect);

    send(&mut first, &mut paused, 5_100, 5_100);

    assert!(!paused.is_blocked(at(5_200), suspect));
}

// Guards against LIMIT: a router that was paused takes a limit for a later one than that which replaced
// it, and all routers return to it.
#[test]
fn a_limit_that_was_replaced_does_not_come_back() {
    let said = |per_second, ms| LimitStatement {
        value: RateLimit::per_second(per_second),
        said_at: at(ms),
    };
    let (former, known) = (said(50.0, 0), said(1.0, 3_000));

    let waited = LimitUpdate::new(at(100), former).statement(Arrival::between(at(100), at(5_000)));
    let passed_on = LimitUpdate::new(at(5_010), waited).statement(Arrival::at(at(5_020)));

    assert_eq!(waited.merge(known), known);
    assert_eq!(known.merge(passed_on), known);
}

// Guards against a server that gets no requests of any router although it takes them again, as one that
// was paused takes its rejections for later ones than the response that ended them.
#[test]
fn rejections_that_have_ended_do_not_begin_again() {
    let mut routers = fleet(2, 1);
    let [known, paused] = keys(&routers)[..] else {
        panic!("two servers stand for one as two routers know it");
    };
    let said = |in_a_row, age_ms| RejectionsUpdate {
        server: 1,
        in_a_row,
        age_ms,
    };
    let rejections = &mut routers.get_mut(known).unwrap().rejections;
    rejections.merge(Arrival::at(at(100)), said(3, 0), 0);
    rejections.merge(Arrival::at(at(2_000)), said(0, 0), 0);

    let waited = Arrival::between(at(100), at(5_000));
    let server = routers.get_mut(paused).unwrap();
    server.rejections.merge(waited, said(3, 0), 0);
    let passed_on = server.rejections_update(at(5_010)).unwrap();
    let rejections = &mut routers.get_mut(known).unwrap().rejections;
    rejections.merge(Arrival::at(at(5_020)), passed_on, 0);

    assert_eq!(rejections.in_a_row(at(5_020)), 0);
}
