//! Attempts at servers that stop responding while their connections stay open.

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
use crate::common::step_with_empty_store;
use crate::common::IDEMPOTENCY_KEY;
use crate::common::START;

/// Time by which a call at an unresponsive server must be retried on another one.
const RETRY_DEADLINE: Time = START.plus_millis(5_000);

/// Handles the timers up to `until` and returns all actions.
fn run_until(node: &mut Node, until: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    while let Some(at) = node.next_deadline().filter(|at| *at <= until) {
        actions.extend(step_with_empty_store(node, at.max(START), Event::Tick));
    }
    actions
}

fn dispatched_server(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.server_name.as_str()),
        _ => None,
    })
}

fn load_event(server: &str, at: Time) -> Event {
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
fn a_completion_on_an_unresponsive_engine_is_retried_on_another() {
    let mut node = node(&config(3));
    let first = step(&mut node, START, completion(1));

    let actions = run_until(&mut node, RETRY_DEADLINE);

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
    assert_ne!(dispatched_server(&actions), dispatched_server(&first));
}

#[test]
fn a_completion_on_a_slow_engine_that_reports_its_load_is_not_retried() {
    let mut node = node(&config(3));
    let first = step(&mut node, START, completion(1));
    let server = dispatched_server(&first)
        .expect("it is dispatched")
        .to_owned();

    let mut actions = Vec::new();
    for second in 1..20 {
        let now = START.plus_millis(second * 1_000);
        actions.extend(run_until(&mut node, now));
        actions.extend(step(&mut node, now, load_event(&server, now)));
    }

    assert_eq!(dispatched_server(&actions), None);
}

#[test]
fn a_lookup_on_an_unresponsive_replica_is_retried_on_another() {
    let mut node = node(&config(1));
    let first = step(&mut node, START, lookup(1));

    let actions = run_until(&mut node, RETRY_DEADLINE);

    assert!(dispatched_server(&actions).is_some());
    assert_ne!(dispatched_server(&actions), dispatched_server(&first));
}

#[test]
fn a_booking_on_an_unresponsive_replica_is_never_retried() {
    let mut node = node(&config(1));
    let first = step_with_empty_store(&mut node, START, booking(1, IDEMPOTENCY_KEY));

    let actions = run_until(&mut node, START.plus_millis(120_000));

    assert!(dispatched_server(&first).is_some());
    assert_eq!(dispatched_server(&actions), None);
}
