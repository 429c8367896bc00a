//! Property test: every random request is either served, or refused with an outcome and nothing
//! sent to a backend server.

mod common;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use common::caller::Caller;
use common::caller::Response;
use common::caller::TOKEN;
use common::system::a_system;
use common::system::System;

/// Number of random requests.
const CASES: u32 = 512;

const PATHS: [&str; 6] = [
    "/v1/completions",
    "/v1/chat/completions",
    "/services/bookings/blocks?day=3",
    "/services/",
    "/services/%2e%2e/x",
    "/v1/nothing",
];

const HEADERS: [&str; 6] = [
    "authorization",
    "x-deadline-ms",
    "x-priority",
    "idempotency-key",
    "last-event-id",
    "content-type",
];

#[derive(Clone, Debug)]
struct AnyRequest {
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl AnyRequest {
    async fn send(&self, system: &System) -> Response {
        let caller = Caller::new(system.address(0), self.path).body(self.body.clone());
        let headers = self.headers.iter();
        headers
            .fold(caller, |caller, (name, value)| caller.header(name, value))
            .send()
            .await
    }
}

fn a_value() -> impl Strategy<Value = String> {
    prop_oneof![
        "[ -~éß]{0,40}",
        "[0-9]{1,25}",
        "[0-9a-f]{0,80}(\\.[0-9]{1,12}){0,2}(\\.[0-9a-f]{32})?",
        Just(format!("Bearer {TOKEN}")),
    ]
}

fn a_body() -> impl Strategy<Value = Vec<u8>> {
    let text = r#"\{("model":"[m-o]"|"prompt":"[a-zé]{0,9}"|"max_tokens":-?[0-9]{1,11}|"messages":\[(\{"role":"u","content":("x"|\[\]|7)\})?\]|"stream":(true|1)|,){0,6}\}?"#;
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        text.prop_map(String::into_bytes),
        Just(br#"{"model":"m","prompt":"hello","max_tokens":2}"#.to_vec()),
        (0usize..3_000).prop_map(|depth| "[".repeat(depth).into_bytes()),
    ]
}

fn any_request() -> impl Strategy<Value = AnyRequest> {
    let header = (prop::sample::select(HEADERS.to_vec()), a_value());
    let headers = prop::collection::vec(header, 0..4);
    let path = prop::sample::select(PATHS.to_vec());
    (path, headers, a_body()).prop_map(|(path, headers, body)| AnyRequest {
        path,
        headers,
        body,
    })
}

#[test]
fn any_request_is_served_or_refused_with_an_outcome_and_nothing_sent() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let system = runtime.block_on(a_system().start());

    let result = TestRunner::new_with_rng(config, rng).run(&any_request(), |req| {
        let before = (
            system.engines.requests().len(),
            system.service.calls().len(),
        );
        let response = runtime.block_on(req.send(&system));
        let after = (
            system.engines.requests().len(),
            system.service.calls().len(),
        );
        if response.status.is_success() {
            return Ok(());
        }
        let (status, _, outcome) = response.refusal();
        prop_assert_eq!(status, response.status.as_u16());
        prop_assert!(outcome == "not_run" || outcome == "unknown");
        prop_assert_eq!(before, after);
        Ok(())
    });

    result.unwrap();
    let health = Caller::get(system.address(0), "/healthz");
    assert_eq!(runtime.block_on(health.send()).status, 200);
}
