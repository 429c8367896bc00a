//! Attempts at servers that fall silent without breaking a connection.

mod common;

use policy::Action;
use policy::Event;
use policy::Failure;
use policy::Incarnation;
use policy::LoadReport;
use policy::Node;
use policy::Time;

use crate::common::booking;
use crate::common::completion;
use crate::common::config;
use crate::common::lookup;
use crate::common::node;
use crate::common::step;
use crate::common::step_with_store;
use crate::common::KEY;
use crate::common::START;

/// Time within which a caller of a silent server must be served elsewhere.
const SOON: Time = START.plus_millis(5_000);

/// Lets time go by until `until` and returns what the router does meanwhile.
fn wait(node: &mut Node, until: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    while let Some(at) = node.next_deadline().filter(|at| *at <= until) {
        actions.extend(step_with_store(node, at.max(START), Event::Tick));
    }
    actions
}

fn server_of(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.server_name.as_str()),
        _ => None,
    })
}

fn load_of(server: &str, at: Time) -> Event {
    Event::Load(LoadReport {
        server: server.to_owned(),
        incarnation: Incarnation(1),
        at,
        queued_tokens: 50_000,
        running: 8,
        leaving: false,
        weights: None,
    })
}

#[test]
fn a_completion_at_a_silent_engine_is_made_elsewhere() {
    let mut node = node(&config(3));
    let first = step(&mut node, START, completion(1));

    let actions = wait(&mut node, SOON);

    let retried = actions.iter().any(|action| {
        matches!(
            action,
            Action::Retried {
                failure: Failure::Stalled,
                ..
            }
        )
    });
    assert!(retried);
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel(_))));
    assert_ne!(server_of(&actions), server_of(&first));
}

#[test]
fn a_completion_at_a_slow_engine_that_reports_its_load_is_waited_for() {
    let mut node = node(&config(3));
    let first = step(&mut node, START, completion(1));
    let server = server_of(&first).expect("it is sent").to_owned();

    let mut actions = Vec::new();
    for second in 1..20 {
        let now = START.plus_millis(second * 1_000);
        actions.extend(wait(&mut node, now));
        actions.extend(step(&mut node, now, load_of(&server, now)));
    }

    assert_eq!(server_of(&actions), None);
}

#[test]
fn a_lookup_at_a_silent_replica_is_made_elsewhere() {
    let mut node = node(&config(1));
    let first = step(&mut node, START, lookup(1));

    let actions = wait(&mut node, SOON);

    assert!(server_of(&actions).is_some());
    assert_ne!(server_of(&actions), server_of(&first));
}

#[test]
fn a_booking_at_a_silent_replica_is_never_made_elsewhere() {
    let mut node = node(&config(1));
    let first = step_with_store(&mut node, START, booking(1, KEY));

    let actions = wait(&mut node, START.plus_millis(120_000));

    assert!(server_of(&first).is_some());
    assert_eq!(server_of(&actions), None);
}
