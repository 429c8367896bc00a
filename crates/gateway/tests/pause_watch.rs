//! A process notices that it was paused.

use gateway::PauseWatch;
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
}
