//! Transcripts of events and resulting actions, compared with snapshot files.

mod common;

use std::fmt::Write;
use std::sync::Arc;

use insta::assert_snapshot;
use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::Event;
use policy::Failure;
use policy::Node;
use policy::OpId;
use policy::StoreRequest;
use policy::StoreResult;
use policy::StoredResponse;

use crate::common::booking;
use crate::common::completion;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::IDEMPOTENCY_KEY;
use crate::common::START;

/// Names of all engines in the configurations of these tests.
const ENGINE_NAMES: [&str; 3] = ["engine1", "engine2", "engine3"];

/// A node and the transcript of its events and actions.
///
/// Servers are numbered in the order of their first appearance, so the text shows
/// whether two attempts go to the same server, but not which one is chosen.
struct Session {
    node: Node,
    text: String,
    servers: Vec<String>,
}

impl Session {
    fn new(engines: u16) -> Session {
        Session {
            node: node(&config(engines)),
            text: String::new(),
            servers: Vec::new(),
        }
    }

    /// Handles an event `ms` milliseconds after the start and records the actions.
    fn step(&mut self, ms: u64, description: &str, event: Event) -> Vec<Action> {
        let actions = step(&mut self.node, START.plus_millis(ms), event);
        writeln!(self.text, "{ms} ms: {description}").expect("writing to a string does not fail");
        for action in &actions {
            let line = self.action_line(action);
            writeln!(self.text, "  {line}").expect("writing to a string does not fail");
        }
        actions
    }

    fn action_line(&mut self, action: &Action) -> String {
        match action {
            Action::Dispatch(dispatch) => format!(
                "send attempt {} of call {} to {}, resume after {}",
                dispatch.at.attempt.0,
                dispatch.at.call.0,
                self.server(&dispatch.server_name),
                dispatch.resume_after
            ),
            Action::Store { .. } => self.replace_engine_names(action_line(action)),
            other => action_line(other),
        }
    }

    fn replace_engine_names(&mut self, text: String) -> String {
        ENGINE_NAMES
            .iter()
            .fold(text, |text, name| match text.contains(name) {
                true => text.replace(name, &self.server(name)),
                false => text,
            })
    }

    /// Returns the name under which a server appears in the transcript.
    fn server(&mut self, name: &str) -> String {
        let index = self.servers.iter().position(|other| other == name);
        let index = index.unwrap_or_else(|| {
            self.servers.push(name.to_owned());
            self.servers.len() - 1
        });
        format!("server-{}", index + 1)
    }

    /// Handles the result of a request to the key-value service.
    fn handle_store_result(&mut self, ms: u64, op: OpId, result: StoreResult) -> Vec<Action> {
        let description = format!("result of op {}: {}", op.0, result_line(&result));
        self.step(ms, &description, Event::Store { op, result })
    }

    /// Handles a report on an attempt of call 1.
    fn handle_report(&mut self, ms: u64, attempt: u32, report: BackendReport) -> Vec<Action> {
        let description = format!("attempt {attempt} of call 1: {}", report_line(&report));
        let event = Event::Backend {
            call: CallId(1),
            attempt: AttemptId(attempt),
            report,
        };
        self.step(ms, &description, event)
    }
}

fn action_line(action: &Action) -> String {
    match action {
        Action::Store { op, request } => format!("store op {}: {}", op.0, request_line(request)),
        Action::Respond {
            call,
            response,
            replayed,
        } => format!(
            "answer call {}: {} {}, repeat {replayed}",
            call.0,
            response.status,
            String::from_utf8_lossy(&response.body)
        ),
        Action::Refuse { call, refusal } => {
            let retry_at = refusal.retry_at();
            let retry_at = retry_at.map(|at| at.as_millis() - START.as_millis());
            format!(
                "refuse call {}: {}, {}{}",
                call.0,
                refusal.reason().name(),
                refusal.outcome().name(),
                retry_at.map_or(String::new(), |ms| format!(", retry at {ms} ms"))
            )
        }
        other => format!("{other:?}"),
    }
}

fn request_line(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get { key } => format!("get {key}"),
        StoreRequest::CompareAndSwap {
            key,
            expected,
            value,
            expires,
        } => format!(
            "swap {key} over version {expected}, expires {:?}: {}",
            expires.map(|at| at.as_millis()),
            String::from_utf8_lossy(value)
        ),
    }
}

fn result_line(result: &StoreResult) -> String {
    match result {
        StoreResult::Value { version, value } => {
            format!("version {version} {}", String::from_utf8_lossy(value))
        }
        StoreResult::Conflict {
            held: Some((version, value)),
        } => format!(
            "conflict, version {version} {}",
            String::from_utf8_lossy(value)
        ),
        other => format!("{other:?}"),
    }
}

fn report_line(report: &BackendReport) -> String {
    match report {
        BackendReport::Responded(response) => format!(
            "answered {} {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        ),
        other => format!("{other:?}"),
    }
}

/// Returns the id of the request to the store, and the value that it writes, if any.
fn store_request(actions: &[Action]) -> (OpId, Vec<u8>) {
    let found = actions.iter().find_map(|action| match action {
        Action::Store {
            op,
            request: StoreRequest::CompareAndSwap { value, .. },
        } => Some((*op, value.clone())),
        Action::Store { op, .. } => Some((*op, Vec::new())),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("no request to the store: {actions:?}"))
}

fn booked_response() -> BackendReport {
    BackendReport::Responded(StoredResponse {
        status: 201,
        content_type: None,
        body: Arc::new(b"booked".to_vec()),
    })
}

fn broken_stream(delivered: u32) -> BackendReport {
    let failure = Failure::Broken;
    BackendReport::Failed { failure, delivered }
}

#[test]
fn claim_with_a_lost_response_and_a_retry() {
    let mut session = Session::new(1);

    let actions = session.step(0, "call 1 books", booking(1, IDEMPOTENCY_KEY));
    let (op, claimed) = store_request(&actions);
    let actions = session.handle_store_result(1, op, StoreResult::ResponseLost);
    let (op, _) = store_request(&actions);
    let read_back = StoreResult::Value {
        version: 1,
        value: claimed,
    };
    session.handle_store_result(2, op, read_back);
    let actions = session.handle_report(3, 1, booked_response());
    let (op, done) = store_request(&actions);
    session.handle_store_result(4, op, StoreResult::Written { version: 2 });
    let actions = session.step(5, "call 2 books the same", booking(2, IDEMPOTENCY_KEY));
    let (op, _) = store_request(&actions);
    let held = Some((2, done));
    session.handle_store_result(6, op, StoreResult::Conflict { held });

    assert_snapshot!(session.text);
}

#[test]
fn retry_after_a_broken_stream() {
    let mut session = Session::new(3);

    session.step(0, "call 1 asks for a completion", completion(1));
    session.handle_report(10, 1, BackendReport::FirstToken);
    let actions = session.handle_report(20, 1, broken_stream(5));
    let (op, _) = store_request(&actions);
    let actions = session.handle_store_result(21, op, StoreResult::Absent);
    let (op, _) = store_request(&actions);
    session.handle_store_result(22, op, StoreResult::Written { version: 1 });
    session.handle_report(30, 1, broken_stream(6));
    session.handle_report(40, 2, BackendReport::Finished { output_tokens: 100 });

    assert_snapshot!(session.text);
}

#[test]
fn shutdown_with_a_call_in_flight() {
    let mut session = Session::new(1);
    let deadline = START.plus_millis(1_000);

    session.step(0, "call 1 asks for a completion", completion(1));
    session.step(10, "shutdown by 1000 ms", Event::Shutdown { deadline });
    session.step(20, "call 2 asks for a completion", completion(2));
    session.handle_report(30, 1, BackendReport::Finished { output_tokens: 100 });

    assert_snapshot!(session.text);
}

#[test]
fn shutdown_that_runs_out_of_time() {
    let mut session = Session::new(1);
    let deadline = START.plus_millis(1_000);

    session.step(0, "call 1 asks for a completion", completion(1));
    session.step(10, "shutdown by 1000 ms", Event::Shutdown { deadline });
    session.step(1_000, "tick", Event::Tick);

    assert_snapshot!(session.text);
}
