//! Calls from arrival to their final response.

mod common;

use std::sync::Arc;

use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::OpId;
use policy::Outcome;
use policy::Reason;
use policy::Refusal;
use policy::StoreRequest;
use policy::StoreResult;
use policy::StoredResponse;

use crate::common::booking;
use crate::common::completion;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::step_with_empty_store;
use crate::common::IDEMPOTENCY_KEY;
use crate::common::START;

fn dispatched(actions: &[Action]) -> &Dispatch {
    actions
        .iter()
        .find_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .unwrap_or_else(|| panic!("nothing was dispatched: {actions:?}"))
}

fn refused(actions: &[Action]) -> Refusal {
    actions
        .iter()
        .find_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(*refusal),
            _ => None,
        })
        .unwrap_or_else(|| panic!("nothing was refused: {actions:?}"))
}

fn store_request(actions: &[Action]) -> (OpId, StoreRequest) {
    actions
        .iter()
        .find_map(|action| match action {
            Action::Store { op, request } => Some((*op, request.clone())),
            _ => None,
        })
        .unwrap_or_else(|| panic!("no request to the store: {actions:?}"))
}

fn failed(call: u64, attempt: u32, failure: Failure, delivered: u32) -> Event {
    Event::Backend {
        call: CallId(call),
        attempt: AttemptId(attempt),
        report: BackendReport::Failed { failure, delivered },
    }
}

fn response() -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: None,
        body: Arc::new(b"booked".to_vec()),
    }
}

#[test]
fn a_broken_stream_resumes_on_another_engine_after_the_delivered_tokens() {
    let mut node = node(&config(3));
    let first = step(&mut node, START, completion(1));
    let first = dispatched(&first).clone();

    let second = step_with_empty_store(&mut node, START, failed(1, 1, Failure::Broken, 5));

    let second = dispatched(&second);
    assert_ne!(second.at.server, first.at.server);
    assert_eq!(second.resume_after, 5);
}

#[test]
fn a_call_that_never_ran_anywhere_is_refused_as_not_run() {
    let mut node = node(&config(1));
    step(&mut node, START, completion(1));

    let actions = step(&mut node, START, failed(1, 1, Failure::NotConnected, 0));

    assert_eq!(refused(&actions).outcome(), Outcome::NotRun);
}

#[test]
fn a_call_that_may_have_run_once_is_never_refused_as_not_run() {
    let mut node = node(&config(2));
    step(&mut node, START, completion(1));
    step_with_empty_store(&mut node, START, failed(1, 1, Failure::Broken, 0));

    let actions = step(&mut node, START, failed(1, 2, Failure::NotConnected, 0));

    assert_eq!(refused(&actions).outcome(), Outcome::Unknown);
}

#[test]
fn a_booking_is_dispatched_only_after_its_claim_is_written() {
    let mut node = node(&config(1));

    let claim = step(&mut node, START, booking(1, IDEMPOTENCY_KEY));
    let (op, request) = store_request(&claim);
    let after_claim = step(
        &mut node,
        START,
        Event::Store {
            op,
            result: StoreResult::Written { version: 1 },
        },
    );

    assert!(matches!(
        request,
        StoreRequest::CompareAndSwap { expected: 0, .. }
    ));
    assert!(!claim.iter().any(|a| matches!(a, Action::Dispatch(_))));
    assert!(dispatched(&after_claim)
        .server_name
        .starts_with("bookings/"));
}

#[test]
fn a_booking_that_may_have_run_is_not_dispatched_again() {
    let mut node = node(&config(1));
    let (op, _) = store_request(&step(&mut node, START, booking(1, IDEMPOTENCY_KEY)));
    let result = StoreResult::Written { version: 1 };
    step(&mut node, START, Event::Store { op, result });

    let actions = step(&mut node, START, failed(1, 1, Failure::Broken, 0));

    assert!(!actions.iter().any(|a| matches!(a, Action::Dispatch(_))));
    assert_eq!(refused(&actions).outcome(), Outcome::Unknown);
}

#[test]
fn a_claim_with_a_lost_response_is_confirmed_by_reading_it_back() {
    let mut node = node(&config(1));
    let (op, request) = store_request(&step(&mut node, START, booking(1, IDEMPOTENCY_KEY)));
    let StoreRequest::CompareAndSwap { value, .. } = request else {
        panic!("a claim is a compare-and-swap");
    };
    let result = StoreResult::ResponseLost;
    let (op, request) = store_request(&step(&mut node, START, Event::Store { op, result }));

    let result = StoreResult::Value { version: 1, value };
    let after_claim = step(&mut node, START, Event::Store { op, result });

    assert!(matches!(request, StoreRequest::Get { .. }));
    assert!(dispatched(&after_claim)
        .server_name
        .starts_with("bookings/"));
}

#[test]
fn a_booking_with_a_used_key_gets_the_recorded_response() {
    let mut first = node(&config(1));
    let (op, _) = store_request(&step(&mut first, START, booking(1, IDEMPOTENCY_KEY)));
    let result = StoreResult::Written { version: 1 };
    step(&mut first, START, Event::Store { op, result });
    let responded = Event::Backend {
        call: CallId(1),
        attempt: AttemptId(1),
        report: BackendReport::Responded(response()),
    };
    let (_, request) = store_request(&step(&mut first, START, responded));
    let StoreRequest::CompareAndSwap { value, .. } = request else {
        panic!("a response is recorded by compare-and-swap");
    };

    let mut second = node(&config(1));
    let (op, _) = store_request(&step(&mut second, START, booking(9, IDEMPOTENCY_KEY)));
    let held = Some((2, value));
    let result = StoreResult::Conflict { held };
    let actions = step(&mut second, START, Event::Store { op, result });

    let expected = Action::Respond {
        call: CallId(9),
        response: response(),
        replayed: true,
    };
    assert_eq!(actions, [expected]);
}

#[test]
fn a_booking_with_an_invalid_key_is_refused_as_not_run() {
    let mut node = node(&config(1));

    let actions = step(&mut node, START, booking(1, "no-uuid"));

    let refusal = refused(&actions);
    assert_eq!(refusal.reason(), Reason::KeyMissing);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}
