//! Ends of attempts that prove something only with what their backend server does next.

mod common;

use common::at;
use relay::SuspectKey;
use relay::UnsettledEnds;

const SERVER: u64 = 5;
const SUSPECTS: [SuspectKey; 1] = [SuspectKey::Part(1)];

fn ends() -> UnsettledEnds {
    let mut ends = UnsettledEnds::default();
    ends.add(at(100), SERVER, &SUSPECTS);
    ends
}

#[test]
fn a_response_to_an_earlier_request_does_not_prove_that_the_server_lives() {
    let mut ends = ends();
    ends.server_lives(at(200), SERVER, at(90));
    ends.server_lives(at(200), SERVER + 1, at(150));
    assert_eq!(ends.server_ended(at(201), SERVER), SUSPECTS);
}

#[test]
fn an_attempt_without_a_response_is_held_against_its_suspects_if_the_server_has_ended() {
    let mut ends = ends();
    assert_eq!(ends.server_ended(at(200), SERVER), SUSPECTS);
}

#[test]
fn an_attempt_without_a_response_proves_nothing_if_the_server_lives() {
    let mut ends = ends();
    ends.server_lives(at(200), SERVER, at(150));
    assert!(ends.server_ended(at(201), SERVER).is_empty());
}

#[test]
fn a_server_that_may_have_started_again_proves_nothing() {
    let mut ends = ends();
    assert!(ends.server_ended(at(5_000), SERVER).is_empty());
}

#[test]
fn memory_stays_bounded() {
    let mut ends = UnsettledEnds::default();
    for _ in 0..10_000 {
        ends.add(at(0), SERVER, &SUSPECTS);
    }
    assert!(ends.server_ended(at(1), SERVER).len() <= 256);
}
