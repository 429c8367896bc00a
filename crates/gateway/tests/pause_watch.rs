//! A process notices that it was paused.

use gateway::PauseWatch;
use policy::Arrival;
use policy::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

/// Returns a watch that has noted until `ms` that the process runs.
fn running_until(ms: u64) -> PauseWatch {
    let watch = PauseWatch::new(at(0));
    for ms in (0..=ms).step_by(50) {
        watch.note(at(ms));
    }
    watch
}

#[test]
fn a_process_that_runs_is_not_paused() {
    let watch = running_until(1_000);

    assert!(!watch.was_paused(at(0), at(1_200)));
}

// Guards against a response that looks whole as its connection ended while the router was paused.
#[test]
fn a_pause_is_noticed_before_it_is_noted() {
    let watch = running_until(1_000);

    assert!(watch.was_paused(at(900), at(1_900)));
}

// Guards against the same after a short pause.
#[test]
fn a_pause_of_300_ms_is_noticed() {
    let watch = running_until(1_000);

    assert_eq!(watch.note(at(1_310)), Some(310));
    assert!(watch.was_paused(at(1_100), at(1_400)));
}

#[test]
fn a_pause_is_known_for_what_began_before_its_end() {
    let watch = running_until(1_000);

    assert_eq!(watch.note(at(1_900)), Some(900));
    assert_eq!(watch.note(at(2_150)), None);
    assert!(watch.was_paused(at(900), at(2_200)));
    assert!(!watch.was_paused(at(1_950), at(2_200)));
}

// Guards against a signal to stop that came in a pause and seems to have come after it.
#[test]
fn a_process_was_last_alive_before_the_pause() {
    let watch = running_until(1_000);
    watch.note(at(1_900));

    assert_eq!(watch.alive_at(), at(1_000));
    watch.note(at(1_950));
    watch.note(at(2_140));
    assert_eq!(watch.alive_at(), at(1_000), "the signal may be handled now");
}

// Guards against VERSION: what has waited in a pause counts as just arrived.
#[test]
fn what_is_read_after_a_pause_may_have_arrived_since_its_begin() {
    let watch = running_until(1_000);

    assert_eq!(watch.arrival(at(1_100)), Arrival::at(at(1_100)));
    assert_eq!(
        watch.arrival(at(4_000)),
        Arrival::between(at(1_000), at(4_000))
    );
    watch.note(at(4_000));
    assert_eq!(watch.arrival(at(4_999)).earliest(), at(1_000));
    for ms in (4_000..=5_050).step_by(50) {
        watch.note(at(ms));
    }
    assert_eq!(watch.arrival(at(5_100)), Arrival::at(at(5_100)));
}

// Guards against VERSION: a process that gets little time reads what has waited bit by bit.
#[test]
fn gaps_in_a_row_count_as_one() {
    let watch = running_until(1_000);
    watch.note(at(1_400));
    watch.note(at(1_700));
    watch.note(at(1_900));

    assert_eq!(watch.arrival(at(1_950)).earliest(), at(1_000));
    for ms in (1_950..=2_300).step_by(50) {
        watch.note(at(ms));
    }
    assert_eq!(watch.arrival(at(2_310)), Arrival::at(at(2_310)));
}
