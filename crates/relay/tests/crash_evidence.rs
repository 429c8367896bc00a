//! Detection of requests that crash the backend servers that run them.

mod common;

use common::at;
use policy::Arrival;
use relay::Admission;
use relay::CrashEvidence;
use relay::RecordChange;
use relay::SuspectKey;

const POISON: SuspectKey = SuspectKey::Request(1);
const SOUND: SuspectKey = SuspectKey::Request(2);

/// Time from the block to the first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 30_000;

/// Returns evidence with three crashes of a suspect, in the first three milliseconds.
fn blocked(suspect: SuspectKey) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for server in 0..3 {
        evidence.add_strike(at(server), suspect, 10 + server);
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

/// Delivers all that a router sends in `messages` messages to another one.
fn send(from: &mut CrashEvidence, to: &mut CrashEvidence, ms: u64, messages: usize) {
    for _ in 0..messages {
        for update in from.next_updates(at(ms)) {
            to.merge(Arrival::at(at(ms)), &update, false);
        }
    }
}

#[test]
fn a_suspect_is_blocked_after_crashes_of_three_incarnations() {
    let mut evidence = CrashEvidence::default();
    for server in [10, 11] {
        evidence.add_strike(at(0), POISON, server);
    }
    assert_eq!(admission(&evidence, 1, POISON), Admission::Free);
    evidence.add_strike(at(2), POISON, 12);
    assert!(is_blocked(&evidence, 3, POISON));
}

#[test]
fn a_crash_counts_once_whoever_reports_it() {
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.add_strike(at(0), POISON, 10), Some(1));
    assert_eq!(evidence.add_strike(at(1), POISON, 10), None);
    assert_eq!(evidence.add_strike(at(2), POISON, 11), Some(2));
    assert!(!is_blocked(&evidence, 3, POISON));
}

#[test]
fn requests_that_were_in_flight_beside_the_poison_one_are_not_blocked() {
    let mut evidence = blocked(POISON);
    for server in 0..3 {
        evidence.add_strike(at(server), SuspectKey::Request(100 + server), 10 + server);
    }
    assert!(is_blocked(&evidence, 5, POISON));
    assert!(!is_blocked(&evidence, 5, SuspectKey::Request(100)));
}

#[test]
fn a_complete_response_clears_a_request_and_unblocks_it() {
    let mut evidence = blocked(SOUND);
    assert_eq!(evidence.clear(at(10), SOUND), 3);
    assert_eq!(admission(&evidence, 11, SOUND), Admission::Free);
}

// Pattern: all servers of a service fail together while a popular request runs on each of them.
#[test]
fn a_popular_request_is_not_blocked_when_many_servers_fail_together() {
    let mut evidence = CrashEvidence::default();
    evidence.clear(at(0), SOUND);
    for server in 0..6 {
        evidence.add_strike(at(200 + server), SOUND, 10 + server);
    }
    assert!(!is_blocked(&evidence, 300, SOUND));
}

#[test]
fn crashes_long_after_the_latest_complete_response_count() {
    let mut evidence = CrashEvidence::default();
    evidence.clear(at(0), POISON);
    for server in 0..3 {
        evidence.add_strike(at(10_000 + server), POISON, 10 + server);
    }
    assert!(is_blocked(&evidence, 10_010, POISON));
}

#[test]
fn a_complete_response_at_one_router_clears_at_all() {
    let mut first = blocked(SOUND);
    let mut second = CrashEvidence::default();
    send(&mut first, &mut second, 10, 1);
    assert!(is_blocked(&second, 11, SOUND));

    second.clear(at(20), SOUND);
    send(&mut second, &mut first, 30, 1);

    assert!(!is_blocked(&first, 31, SOUND));
}

#[test]
fn a_router_that_knows_a_complete_response_answers_strikes_of_another() {
    let mut striking = CrashEvidence::default();
    let mut serving = CrashEvidence::default();
    serving.clear(at(0), SOUND);
    for server in 0..3 {
        striking.add_strike(at(100), SOUND, 10 + server);
    }
    assert!(is_blocked(&striking, 101, SOUND));

    send(&mut striking, &mut serving, 110, 1);
    send(&mut serving, &mut striking, 120, 1);

    assert!(!is_blocked(&serving, 130, SOUND));
    assert!(!is_blocked(&striking, 130, SOUND));
}

#[test]
fn crashes_that_three_routers_saw_count_together() {
    let mut routers = vec![CrashEvidence::default(); 3];
    for (server, router) in routers.iter_mut().enumerate() {
        router.add_strike(at(0), POISON, server as u64);
    }
    let mut fourth = CrashEvidence::default();
    for router in &mut routers {
        send(router, &mut fourth, 10, 1);
    }
    assert!(is_blocked(&fourth, 11, POISON));
}

#[test]
fn a_router_that_starts_long_after_the_crashes_learns_who_is_blocked_with_the_first_message() {
    let mut old = blocked(POISON);
    for i in 0..500 {
        old.add_strike(at(4), SuspectKey::Request(1_000 + i), 50);
    }
    let mut lost = CrashEvidence::default();
    send(&mut old, &mut lost, 100, 100);

    let mut started = CrashEvidence::default();
    send(&mut old, &mut started, 20_000, 1);

    assert!(is_blocked(&started, 20_001, POISON));
}

#[test]
fn a_router_that_was_cut_off_learns_all_suspects_in_turn() {
    let mut connected = CrashEvidence::default();
    for i in 0..200 {
        connected.add_strike(at(0), SuspectKey::Request(i), 50);
    }
    let mut lost = CrashEvidence::default();
    send(&mut connected, &mut lost, 10, 40);
    let mut cut_off = CrashEvidence::default();

    send(&mut connected, &mut cut_off, 3_000, 30);

    for i in 0..200 {
        assert_eq!(
            cut_off.add_strike(at(3_001), SuspectKey::Request(i), 50),
            None,
            "{i}"
        );
    }
}

#[test]
fn the_newest_strikes_of_a_flood_are_told_first() {
    let mut busy = CrashEvidence::default();
    for i in 0..400 {
        busy.add_strike(at(0), SuspectKey::Request(100 + i), 50);
    }
    let mut other = CrashEvidence::default();
    send(&mut busy, &mut other, 10, 7);
    for server in 0..3 {
        busy.add_strike(at(20), POISON, 60 + server);
    }

    send(&mut busy, &mut other, 30, 1);

    assert!(is_blocked(&other, 31, POISON));
}

#[test]
fn a_blocked_request_is_tried_once_and_then_more_rarely() {
    let mut evidence = blocked(POISON);
    assert!(is_blocked(&evidence, FIRST_TRIAL_MS - 100, POISON));
    let later = FIRST_TRIAL_MS + 100;
    assert_eq!(admission(&evidence, later, POISON), Admission::Trial);

    evidence.begin_trial(at(later), POISON);

    assert!(is_blocked(&evidence, later + 1, POISON));
    assert!(is_blocked(&evidence, later + 2 * FIRST_TRIAL_MS, POISON));
}

#[test]
fn a_trial_by_one_router_is_the_trial_of_all() {
    let mut first = blocked(POISON);
    let mut second = CrashEvidence::default();
    send(&mut first, &mut second, 10, 1);
    let later = FIRST_TRIAL_MS + 100;

    first.begin_trial(at(later), POISON);
    send(&mut first, &mut second, later + 10, 1);

    assert!(is_blocked(&second, later + 20, POISON));
}

#[test]
fn of_300_routers_one_may_begin_a_trial_at_first_and_all_in_the_end() {
    let evidence = blocked(POISON);
    let may_try = |ms| {
        let trials = (0..300).filter(|rank| {
            let admission = evidence.admission(at(ms), &[POISON], |_| *rank, |_| false);
            admission == Admission::Trial
        });
        trials.count()
    };
    assert_eq!(may_try(FIRST_TRIAL_MS + 500), 1);
    assert_eq!(may_try(FIRST_TRIAL_MS + 12_000), 300);
}

#[test]
fn memory_stays_bounded_under_a_flood_and_keeps_the_poison() {
    let mut evidence = blocked(POISON);
    for i in 0..50_000 {
        evidence.add_strike(at(10), SuspectKey::Request(1_000 + i), 50);
    }
    assert!(is_blocked(&evidence, 20, POISON));
    let mut all = 0;
    for _ in 0..100 {
        let updates = evidence.next_updates(at(20));
        all = all.max(updates.len());
    }
    assert!(all <= 100, "{all}");
}

#[test]
fn a_request_with_several_suspects_is_refused_if_one_is_blocked() {
    let evidence = blocked(POISON);
    let admission = evidence.admission(at(10), &[SOUND, POISON], |_| 0, |_| false);
    assert!(matches!(admission, Admission::Blocked(_)));
}

#[test]
fn a_block_is_recorded_by_one_router_and_again_in_a_new_era_of_the_store() {
    let mut evidence = blocked(POISON);
    let due = |evidence: &CrashEvidence, era, rank| evidence.record_change(at(100), era, |_| rank);
    assert_eq!(due(&evidence, 1, 0), Some(RecordChange::Write(POISON)));
    assert_eq!(due(&evidence, 1, 1), None);

    evidence.set_recorded(POISON, Some(1));

    assert_eq!(due(&evidence, 1, 0), None);
    assert_eq!(due(&evidence, 2, 0), Some(RecordChange::Write(POISON)));
}

#[test]
fn a_block_is_recorded_by_another_router_if_the_first_one_does_not() {
    let evidence = blocked(POISON);
    let change = evidence.record_change(at(2_500), 1, |_| 3);
    assert_eq!(change, Some(RecordChange::Write(POISON)));
}

#[test]
fn the_record_of_a_cleared_suspect_is_deleted() {
    let mut evidence = blocked(SOUND);
    evidence.set_recorded(SOUND, Some(1));
    evidence.clear(at(50), SOUND);

    let change = evidence.record_change(at(100), 1, |_| 0);

    assert_eq!(change, Some(RecordChange::Delete(SOUND)));
    evidence.set_recorded(SOUND, None);
    assert_eq!(evidence.record_change(at(100), 1, |_| 0), None);
}

// Pattern: a sound request ran beside the poison one on three servers that crashed.
#[test]
fn crashes_that_another_suspect_explains_do_not_count() {
    let mut evidence = blocked(SOUND);
    for server in 0..3 {
        evidence.add_strike(at(server), POISON, 10 + server);
    }
    assert!(is_blocked(&evidence, 5, SOUND));

    evidence.add_strike(at(100), POISON, 50);

    assert!(is_blocked(&evidence, 101, POISON));
    assert!(!is_blocked(&evidence, 101, SOUND));
}

#[test]
fn a_part_that_was_sound_before_is_blocked_after_more_crashes() {
    let part = SuspectKey::Part(7);
    let mut evidence = CrashEvidence::default();
    evidence.clear(at(0), part);
    for server in 0..4 {
        evidence.add_strike(at(10_000), part, server);
    }
    assert!(!is_blocked(&evidence, 10_001, part));
    evidence.add_strike(at(10_000), part, 4);
    assert!(is_blocked(&evidence, 10_001, part));
}

#[test]
fn messages_about_suspects_fit_a_datagram() {
    let mut evidence = CrashEvidence::default();
    for server in 0..12 {
        for suspect in 0..300 {
            let server = u64::MAX - 100 * suspect - server;
            evidence.add_strike(at(0), SuspectKey::Request(u64::MAX - suspect), server);
        }
    }
    for _ in 0..30 {
        let bytes = postcard::to_stdvec(&evidence.next_updates(at(100_000))).unwrap();
        assert!(bytes.len() <= 5_000, "{}", bytes.len());
    }
}

// Guards against routers that send each other old strikes without end, as each keeps others.
#[test]
fn routers_that_know_more_crashes_than_they_keep_fall_silent() {
    let mut first = CrashEvidence::default();
    let mut second = CrashEvidence::default();
    for server in 0..30 {
        first.add_strike(at(0), SOUND, server);
        second.add_strike(at(0), SOUND, 100 + server);
    }
    send(&mut first, &mut second, 100, 6);
    send(&mut second, &mut first, 100, 6);
    first.clear(at(200), SOUND);
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
        evidence.add_strike(at(ms), POISON, server);
        evidence.clear(at(ms + 1), POISON);
    }
    let mut other = CrashEvidence::default();
    for server in 0..3 {
        other.add_strike(at(60_000), POISON, 100 + server);
    }

    send(&mut other, &mut evidence, 60_010, 1);

    assert!(is_blocked(&evidence, 60_020, POISON));
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
    let evidence = blocked(POISON);
    assert_ne!(admission(&evidence, 1_700_000, POISON), Admission::Free);
    assert_eq!(admission(&evidence, 1_801_000, POISON), Admission::Free);
}
