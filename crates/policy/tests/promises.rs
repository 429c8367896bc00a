//! Regression tests for failures found by randomised runs, each reduced to a few events.

mod common;

use std::sync::Arc;

use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::Node;
use policy::OpId;
use policy::PeerMessage;
use policy::Reason;
use policy::StoreRequest;
use policy::StoreResult;
use policy::StoredResponse;
use policy::Time;

use crate::common::booking;
use crate::common::completion;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::IDEMPOTENCY_KEY;
use crate::common::START;

/// Hours after which an idempotency key is no longer valid.
const RETENTION_HOURS: u64 = 48;

fn member(name: &str, role: MemberRole, port: u16, incarnation: u64) -> Member {
    Member {
        name: name.to_owned(),
        role,
        address: ([127, 0, 0, 1], port).into(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: Incarnation(incarnation),
        leaving: false,
    }
}

fn engine(incarnation: u64) -> Member {
    member("engine1", MemberRole::BackendServer, 8_001, incarnation)
}

fn router(name: &str) -> Member {
    member(name, MemberRole::Router, 7_002, 1)
}

fn dispatches(actions: &[Action]) -> Vec<&Dispatch> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

fn messages(actions: &[Action]) -> Vec<(&str, &PeerMessage)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::SendPeer { to, message, .. } => Some((to.as_str(), message)),
            _ => None,
        })
        .collect()
}

fn snapshot_requests(actions: &[Action]) -> usize {
    messages(actions)
        .into_iter()
        .filter(|(_, message)| **message == PeerMessage::SnapshotRequest)
        .count()
}

fn refusals(actions: &[Action]) -> Vec<Reason> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.reason()),
            _ => None,
        })
        .collect()
}

fn store_request(actions: &[Action]) -> Option<(OpId, StoreRequest)> {
    actions.iter().find_map(|action| match action {
        Action::Store { op, request } => Some((*op, request.clone())),
        _ => None,
    })
}

fn failed(call: u64, attempt: u32, failure: Failure) -> Event {
    let delivered = 0;
    report(call, attempt, BackendReport::Failed { failure, delivered })
}

fn report(call: u64, attempt: u32, report: BackendReport) -> Event {
    Event::Backend {
        call: CallId(call),
        attempt: AttemptId(attempt),
        report,
    }
}

fn response() -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: None,
        body: Arc::new(b"booked".to_vec()),
    }
}

/// Sends a booking whose claim is written immediately; returns the actions that follow.
fn start_booking(node: &mut Node, call: u64) -> Vec<Action> {
    let (op, _) =
        store_request(&step(node, START, booking(call, IDEMPOTENCY_KEY))).expect("it is claimed");
    let result = StoreResult::Written { version: 1 };
    step(node, START, Event::Store { op, result })
}

/// Handles the timers up to `until` and returns all actions.
fn run_until(node: &mut Node, until: Time) -> Vec<Action> {
    let mut out = Vec::new();
    while let Some(at) = node.next_deadline().filter(|at| *at <= until) {
        node.handle(at.max(START), Event::Tick, &mut out);
    }
    out
}

#[test]
fn a_membership_list_that_arrives_before_the_configuration_is_kept() {
    let mut node = Node::new(node(&config(1)).identity().clone(), 1);
    step(&mut node, START, Event::Members(vec![engine(5)]));
    let cfg = config(1);
    let event = Event::Config {
        version: 1,
        config: cfg,
    };
    step(&mut node, START, event);

    let actions = step(&mut node, START, completion(1));

    assert_eq!(dispatches(&actions)[0].incarnation, Incarnation(5));
}

#[test]
fn a_router_missing_from_the_membership_list_receives_a_snapshot() {
    let mut node = node(&config(1));
    step(&mut node, START, Event::Members(vec![router("vm2")]));
    step(&mut node, START, Event::Members(Vec::new()));

    let event = Event::Peer {
        from: "vm2".to_owned(),
        message: PeerMessage::SnapshotRequest,
    };
    let actions = step(&mut node, START, event);

    assert!(matches!(
        messages(&actions)[..],
        [("vm2", PeerMessage::Snapshot(_))]
    ));
}

#[test]
fn a_router_without_a_configuration_requests_a_snapshot_again() {
    let mut node = Node::new(node(&config(1)).identity().clone(), 1);
    let first = step(&mut node, START, Event::Members(vec![router("vm2")]));

    let later = run_until(&mut node, START.plus_millis(500));

    assert_eq!(snapshot_requests(&first), 1);
    assert!(snapshot_requests(&later) >= 3, "{later:?}");
}

#[test]
fn a_replica_is_used_again_some_time_after_it_was_leaving() {
    let mut node = node(&config(1));
    let first = start_booking(&mut node, 1);
    let second = step(&mut node, START, failed(1, 1, Failure::Leaving));
    let (first, second) = (dispatches(&first)[0], dispatches(&second)[0]);
    let third = step(&mut node, START, failed(1, 2, Failure::Refused));
    assert!(dispatches(&third).is_empty());

    let later = START.plus_millis(60_000);
    let key = IDEMPOTENCY_KEY.replace("000000000001", "000000000002");
    let (op, _) = store_request(&step(&mut node, later, booking(2, &key))).expect("it is claimed");
    let result = StoreResult::Written { version: 1 };
    step(&mut node, later, Event::Store { op, result });
    let retried = step(&mut node, later, failed(2, 1, Failure::NotConnected));

    assert_ne!(first.server_name, second.server_name);
    assert_eq!(
        dispatches(&retried).len(),
        1,
        "the other replica is available"
    );
}

#[test]
fn a_late_refusal_by_an_old_incarnation_does_not_affect_the_new_one() {
    let mut node = node(&config(1));
    step(&mut node, START, Event::Members(vec![engine(1)]));
    step(&mut node, START, completion(1));
    step(&mut node, START, Event::Members(vec![engine(2)]));
    step(&mut node, START, failed(1, 1, Failure::Leaving));

    let actions = step(&mut node, START, completion(2));

    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn raising_the_record_hours_does_not_make_an_old_key_valid_again() {
    let mut cfg = (*config(1)).clone();
    cfg.limits.record_hours = 4 * RETENTION_HOURS;
    let mut node = node(&Arc::new(cfg));
    let late = START.plus_millis((RETENTION_HOURS + 3) * 3_600_000);

    let actions = step(&mut node, late, booking(1, IDEMPOTENCY_KEY));

    assert_eq!(refusals(&actions), [Reason::KeyExpired]);
}

#[test]
fn a_claim_with_a_lost_response_is_released_after_its_call_was_refused() {
    let mut node = node(&config(1));
    let (op, request) =
        store_request(&step(&mut node, START, booking(1, IDEMPOTENCY_KEY))).expect("a claim");
    let StoreRequest::CompareAndSwap { value, .. } = request else {
        panic!("a claim is a compare-and-swap");
    };
    let late = START.plus_millis(2_000);
    let result = StoreResult::ResponseLost;
    let refused = step(&mut node, late, Event::Store { op, result });
    let later = run_until(&mut node, late.plus_millis(5_000));

    let (op, read) = store_request(&later).expect("it is read back");
    let result = StoreResult::Value { version: 7, value };
    let (_, release) = store_request(&step(
        &mut node,
        late.plus_millis(5_000),
        Event::Store { op, result },
    ))
    .expect("it is released");

    assert_eq!(refusals(&refused), [Reason::PlatformUnavailable]);
    assert!(matches!(read, StoreRequest::Get { .. }));
    assert!(matches!(
        release,
        StoreRequest::CompareAndSwap { expected: 7, .. }
    ));
}

#[test]
fn a_response_that_is_still_being_recorded_is_sent_at_the_deadline() {
    let mut node = node(&config(1));
    start_booking(&mut node, 1);
    step(
        &mut node,
        START,
        report(1, 1, BackendReport::Responded(response())),
    );

    let actions = run_until(&mut node, START.plus_millis(61_000));

    let responded = actions.iter().any(|action| {
        matches!(
            action,
            Action::Respond {
                replayed: false,
                ..
            }
        )
    });
    assert!(responded, "{actions:?}");
    assert!(refusals(&actions).is_empty());
}

#[test]
fn a_claim_of_an_expired_owner_is_not_reported_as_in_progress() {
    let mut first = node(&config(1));
    let (_, request) =
        store_request(&step(&mut first, START, booking(1, IDEMPOTENCY_KEY))).expect("a claim");
    let StoreRequest::CompareAndSwap { value, .. } = request else {
        panic!("a claim is a compare-and-swap");
    };
    let mut second = node(&config(1));
    let late = START.plus_millis(300_000);
    let (op, _) =
        store_request(&step(&mut second, late, booking(9, IDEMPOTENCY_KEY))).expect("a claim");

    let held = Some((1, value));
    let result = StoreResult::Conflict { held };
    let actions = step(&mut second, late, Event::Store { op, result });

    assert_eq!(refusals(&actions), [Reason::EarlierAttemptUnknown]);
}
