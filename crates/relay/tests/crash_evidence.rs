//! Detection of requests that crash the backend servers that run them.

mod common;

use common::at;
use relay::Admission;
use relay::CrashEvidence;
use relay::RecordChange;
use relay::SuspectKey;

const GUILTY: SuspectKey = SuspectKey::Request(1);
const SOUND: SuspectKey = SuspectKey::Request(2);

/// Time from the block to the first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 30_000;

/// Returns evidence with three crashes of a suspect, in the first three milliseconds.
fn blocked(suspect: SuspectKey) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for server in 0..3 {
        evidence.accuse(at(server), suspect, 10 + server);
    }
    evidence
}

/// Returns whether the first router in the order may send a request of a suspect at a time.
fn admission(evidence: &CrashEvidence, ms: u64, suspect: SuspectKey) -> Admission {
    evidence.admission(at(ms), &[suspect], |_| 0, |_| false)
}

fn is_blocked(evidence: &CrashEvidence, ms: u64, suspect: SuspectKey) -> bool {
    matches!(admission(evidence, ms, suspect), Admission::Blocked(_))
}

/// Sends all that a router tells in `messages` messages to another one.
fn send(from: &mut CrashEvidence, to: &mut CrashEvidence, ms: u64, messages: usize) {
    for _ in 0..messages {
        for update in from.next_updates(at(ms)) {
            to.merge(at(ms), &update, false);
        }
    }
}

#[test]
fn a_suspect_is_blocked_after_crashes_of_three_incarnations() {
    let mut evidence = CrashEvidence::default();
    for server in [10, 11] {
        evidence.accuse(at(0), GUILTY, server);
    }
    assert_eq!(admission(&evidence, 1, GUILTY), Admission::Free);
    evidence.accuse(at(2), GUILTY, 12);
    assert!(is_blocked(&evidence, 3, GUILTY));
}

#[test]
fn a_crash_counts_once_whoever_tells_of_it() {
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.accuse(at(0), GUILTY, 10), Some(1));
    assert_eq!(evidence.accuse(at(1), GUILTY, 10), None);
    assert_eq!(evidence.accuse(at(2), GUILTY, 11), Some(2));
    assert!(!is_blocked(&evidence, 3, GUILTY));
}

#[test]
fn requests_that_were_in_flight_beside_the_guilty_one_are_not_blocked() {
    let mut evidence = blocked(GUILTY);
    for server in 0..3 {
        evidence.accuse(at(server), SuspectKey::Request(100 + server), 10 + server);
    }
    assert!(is_blocked(&evidence, 5, GUILTY));
    assert!(!is_blocked(&evidence, 5, SuspectKey::Request(100)));
}

#[test]
fn a_complete_response_acquits_a_request_and_unblocks_it() {
    let mut evidence = blocked(SOUND);
    assert_eq!(evidence.acquit(at(10), SOUND), 3);
    assert_eq!(admission(&evidence, 11, SOUND), Admission::Free);
}

// Pattern: all servers of a service fail together while a popular request runs on each of them.
#[test]
fn a_popular_request_is_not_blocked_when_many_servers_fail_together() {
    let mut evidence = CrashEvidence::default();
    evidence.acquit(at(0), SOUND);
    for server in 0..6 {
        evidence.accuse(at(200 + server), SOUND, 10 + server);
    }
    assert!(!is_blocked(&evidence, 300, SOUND));
}

#[test]
fn crashes_long_after_the_latest_complete_response_count() {
    let mut evidence = CrashEvidence::default();
    evidence.acquit(at(0), GUILTY);
    for server in 0..3 {
        evidence.accuse(at(10_000 + server), GUILTY, 10 + server);
    }
    assert!(is_blocked(&evidence, 10_010, GUILTY));
}

#[test]
fn a_complete_response_at_one_router_acquits_at_all() {
    let mut first = blocked(SOUND);
    let mut second = CrashEvidence::default();
    send(&mut first, &mut second, 10, 1);
    assert!(is_blocked(&second, 11, SOUND));

    second.acquit(at(20), SOUND);
    send(&mut second, &mut first, 30, 1);

    assert!(!is_blocked(&first, 31, SOUND));
}

#[test]
fn a_router_that_knows_a_complete_response_answers_an_accusation_of_another() {
    let mut accuser = CrashEvidence::default();
    let mut witness = CrashEvidence::default();
    witness.acquit(at(0), SOUND);
    for server in 0..3 {
        accuser.accuse(at(100), SOUND, 10 + server);
    }
    assert!(is_blocked(&accuser, 101, SOUND));

    send(&mut accuser, &mut witness, 110, 1);
    send(&mut witness, &mut accuser, 120, 1);

    assert!(!is_blocked(&witness, 130, SOUND));
    assert!(!is_blocked(&accuser, 130, SOUND));
}

#[test]
fn crashes_that_three_routers_saw_count_together() {
    let mut routers = vec![CrashEvidence::default(); 3];
    for (server, router) in routers.iter_mut().enumerate() {
        router.accuse(at(0), GUILTY, server as u64);
    }
    let mut fourth = CrashEvidence::default();
    for router in &mut routers {
        send(router, &mut fourth, 10, 1);
    }
    assert!(is_blocked(&fourth, 11, GUILTY));
}

#[test]
fn a_router_that_starts_long_after_the_crashes_learns_who_is_blocked_with_the_first_message() {
    let mut old = blocked(GUILTY);
    for i in 0..500 {
        old.accuse(at(4), SuspectKey::Request(1_000 + i), 50);
    }
    let mut lost = CrashEvidence::default();
    send(&mut old, &mut lost, 100, 100);

    let mut started = CrashEvidence::default();
    send(&mut old, &mut started, 20_000, 1);

    assert!(is_blocked(&started, 20_001, GUILTY));
}

#[test]
fn a_router_that_was_cut_off_learns_all_suspects_in_turn() {
    let mut connected = CrashEvidence::default();
    for i in 0..200 {
        connected.accuse(at(0), SuspectKey::Request(i), 50);
    }
    let mut lost = CrashEvidence::default();
    send(&mut connected, &mut lost, 10, 40);
    let mut cut_off = CrashEvidence::default();

    send(&mut connected, &mut cut_off, 3_000, 30);

    for i in 0..200 {
        assert_eq!(
            cut_off.accuse(at(3_001), SuspectKey::Request(i), 50),
            None,
            "{i}"
        );
    }
}

#[test]
fn the_newest_strikes_of_a_flood_are_told_first() {
    let mut busy = CrashEvidence::default();
    for i in 0..400 {
        busy.accuse(at(0), SuspectKey::Request(100 + i), 50);
    }
    let mut other = CrashEvidence::default();
    send(&mut busy, &mut other, 10, 7);
    for server in 0..3 {
        busy.accuse(at(20), GUILTY, 60 + server);
    }

    send(&mut busy, &mut other, 30, 1);

    assert!(is_blocked(&other, 31, GUILTY));
}

#[test]
fn a_blocked_request_is_tried_once_and_then_more_rarely() {
    let mut evidence = blocked(GUILTY);
    assert!(is_blocked(&evidence, FIRST_TRIAL_MS - 100, GUILTY));
    let later = FIRST_TRIAL_MS + 100;
    assert_eq!(admission(&evidence, later, GUILTY), Admission::Trial);

    evidence.begin_trial(at(later), GUILTY);

    assert!(is_blocked(&evidence, later + 1, GUILTY));
    assert!(is_blocked(&evidence, later + 2 * FIRST_TRIAL_MS, GUILTY));
}

#[test]
fn a_trial_by_one_router_is_the_trial_of_all() {
    let mut first = blocked(GUILTY);
    let mut second = CrashEvidence::default();
    send(&mut first, &mut second, 10, 1);
    let later = FIRST_TRIAL_MS + 100;

    first.begin_trial(at(later), GUILTY);
    send(&mut first, &mut second, later + 10, 1);

    assert!(is_blocked(&second, later + 20, GUILTY));
}

#[test]
fn of_300_routers_one_may_begin_a_trial_at_first_and_all_in_the_end() {
    let evidence = blocked(GUILTY);
    let may_try = |ms| {
        let trials = (0..300).filter(|rank| {
            let admission = evidence.admission(at(ms), &[GUILTY], |_| *rank, |_| false);
            admission == Admission::Trial
        });
        trials.count()
    };
    assert_eq!(may_try(FIRST_TRIAL_MS + 500), 1);
    assert_eq!(may_try(FIRST_TRIAL_MS + 12_000), 300);
}

#[test]
fn memory_stays_bounded_under_a_flood_and_keeps_the_guilty() {
    let mut evidence = blocked(GUILTY);
    for i in 0..50_000 {
        evidence.accuse(at(10), SuspectKey::Request(1_000 + i), 50);
    }
    assert!(is_blocked(&evidence, 20, GUILTY));
    let mut all = 0;
    for _ in 0..100 {
        let updates = evidence.next_updates(at(20));
        all = all.max(updates.len());
    }
    assert!(all <= 100, "{all}");
}

#[test]
fn a_request_with_several_suspects_is_refused_if_one_is_blocked() {
    let evidence = blocked(GUILTY);
    let admission = evidence.admission(at(10), &[SOUND, GUILTY], |_| 0, |_| false);
    assert!(matches!(admission, Admission::Blocked(_)));
}

#[test]
fn a_block_is_recorded_by_one_router_and_again_in_a_new_era_of_the_store() {
    let mut evidence = blocked(GUILTY);
    let due = |evidence: &CrashEvidence, era, rank| evidence.record_change(at(100), era, |_| rank);
    assert_eq!(due(&evidence, 1, 0), Some(RecordChange::Write(GUILTY)));
    assert_eq!(due(&evidence, 1, 1), None);

    evidence.set_recorded(GUILTY, Some(1));

    assert_eq!(due(&evidence, 1, 0), None);
    assert_eq!(due(&evidence, 2, 0), Some(RecordChange::Write(GUILTY)));
}

#[test]
fn a_block_is_recorded_by_another_router_if_the_first_one_does_not() {
    let evidence = blocked(GUILTY);
    let change = evidence.record_change(at(2_500), 1, |_| 3);
    assert_eq!(change, Some(RecordChange::Write(GUILTY)));
}

#[test]
fn the_record_of_an_acquitted_suspect_is_deleted() {
    let mut evidence = blocked(SOUND);
    evidence.set_recorded(SOUND, Some(1));
    evidence.acquit(at(50), SOUND);

    let change = evidence.record_change(at(100), 1, |_| 0);

    assert_eq!(change, Some(RecordChange::Delete(SOUND)));
    evidence.set_recorded(SOUND, None);
    assert_eq!(evidence.record_change(at(100), 1, |_| 0), None);
}

// Pattern: a sound request ran beside the guilty one on three servers that crashed.
#[test]
fn crashes_that_another_suspect_explains_do_not_count() {
    let mut evidence = blocked(SOUND);
    for server in 0..3 {
        evidence.accuse(at(server), GUILTY, 10 + server);
    }
    assert!(is_blocked(&evidence, 5, SOUND));

    evidence.accuse(at(100), GUILTY, 50);

    assert!(is_blocked(&evidence, 101, GUILTY));
    assert!(!is_blocked(&evidence, 101, SOUND));
}

#[test]
fn a_part_that_was_sound_before_is_blocked_after_more_crashes() {
    let part = SuspectKey::Part(7);
    let mut evidence = CrashEvidence::default();
    evidence.acquit(at(0), part);
    for server in 0..4 {
        evidence.accuse(at(10_000), part, server);
    }
    assert!(!is_blocked(&evidence, 10_001, part));
    evidence.accuse(at(10_000), part, 4);
    assert!(is_blocked(&evidence, 10_001, part));
}

#[test]
fn messages_about_suspects_fit_a_datagram() {
    let mut evidence = CrashEvidence::default();
    for server in 0..12 {
        for suspect in 0..300 {
            let server = u64::MAX - 100 * suspect - server;
            evidence.accuse(at(0), SuspectKey::Request(u64::MAX - suspect), server);
        }
    }
    for _ in 0..30 {
        let bytes = postcard::to_stdvec(&evidence.next_updates(at(100_000))).unwrap();
        assert!(bytes.len() <= 5_000, "{}", bytes.len());
    }
}

// Guards against routers that tell each other of old crashes without end, as each keeps others.
#[test]
fn routers_that_know_more_crashes_than_they_keep_fall_silent() {
    let mut first = CrashEvidence::default();
    let mut second = CrashEvidence::default();
    for server in 0..30 {
        first.accuse(at(0), SOUND, server);
        second.accuse(at(0), SOUND, 100 + server);
    }
    send(&mut first, &mut second, 100, 6);
    send(&mut second, &mut first, 100, 6);
    first.acquit(at(200), SOUND);
    for _ in 0..20 {
        send(&mut first, &mut second, 300, 1);
        send(&mut second, &mut first, 300, 1);
    }

    let updates = [first.next_updates(at(400)), second.next_updates(at(400))];

    assert!(updates.concat().is_empty());
}

// Pattern: a popular part was in flight at many engines that ended in the course of a day.
#[test]
fn crashes_that_do_not_count_leave_room_for_those_that_do() {
    let mut evidence = CrashEvidence::default();
    for server in 0..20 {
        let ms = 1_000 * server;
        evidence.accuse(at(ms), GUILTY, server);
        evidence.acquit(at(ms + 1), GUILTY);
    }
    let mut other = CrashEvidence::default();
    for server in 0..3 {
        other.accuse(at(60_000), GUILTY, 100 + server);
    }

    send(&mut other, &mut evidence, 60_010, 1);

    assert!(is_blocked(&evidence, 60_020, GUILTY));
}

// Pattern: all servers of a service break off connections for a while, but none ends.
#[test]
fn a_suspect_is_tried_early_if_a_server_that_broke_off_is_still_registered() {
    let mut evidence = blocked(SOUND);
    let admission = |evidence: &CrashEvidence, ms, registered: u64| {
        evidence.admission(at(ms), &[SOUND], |_| 0, |server| server == registered)
    };
    assert!(matches!(
        admission(&evidence, 5_000, 11),
        Admission::Blocked(_)
    ));
    assert!(matches!(
        admission(&evidence, 6_500, 99),
        Admission::Blocked(_)
    ));
    assert_eq!(admission(&evidence, 6_500, 11), Admission::Trial);

    evidence.begin_trial(at(6_500), SOUND);

    assert!(matches!(
        admission(&evidence, 30_000, 11),
        Admission::Blocked(_)
    ));
}

#[test]
fn a_suspect_is_free_again_half_an_hour_after_its_last_crash() {
    let evidence = blocked(GUILTY);
    assert_ne!(admission(&evidence, 1_700_000, GUILTY), Admission::Free);
    assert_eq!(admission(&evidence, 1_801_000, GUILTY), Admission::Free);
}
