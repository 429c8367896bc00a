//! Requests that are refused before anything is sent to a backend server.

mod common;

use serde_json::json;

use common::caller::Answer;
use common::caller::Caller;
use common::system::a_system;
use common::system::System;

async fn a_rejection_of(system: &System, caller: Caller) -> (u16, String, String) {
    let answer: Answer = caller.send().await;
    assert!(system.engines.requests().is_empty());
    assert!(system.service.calls().is_empty());
    answer.refusal()
}

fn not_run(status: u16, reason: &str) -> (u16, String, String) {
    (status, reason.to_owned(), "not_run".to_owned())
}

#[tokio::test]
async fn bad_bodies_are_refused() {
    let system = a_system().start().await;
    let bodies = [
        "{",
        "[]",
        r#"{"model": "m"}"#,
        r#"{"model": "m", "prompt": ""}"#,
        r#"{"model": "m", "prompt": "x", "max_tokens": 0}"#,
        r#"{"model": "m", "prompt": "x", "max_tokens": -1}"#,
    ];

    for body in bodies {
        let caller = Caller::new(system.address(0), "/v1/completions").body(body);
        let refusal = a_rejection_of(&system, caller).await;

        assert_eq!(refusal, not_run(400, "bad_body"), "{body}");
    }
}

#[tokio::test]
async fn a_body_over_the_configured_limit_is_refused() {
    let system = a_system().with_body_limit(2_000).start().await;
    let body = json!({"model": "m", "prompt": "x".repeat(2_000)});

    let caller = Caller::new(system.address(0), "/v1/completions").json(&body);
    let refusal = a_rejection_of(&system, caller).await;

    assert_eq!(refusal, not_run(413, "body_too_large"));
}

#[tokio::test]
async fn unknown_models_tokens_and_priorities_are_refused() {
    let system = a_system().start().await;
    let address = system.address(0);
    let body = json!({"model": "other", "prompt": "x"});
    let cases = [
        (
            Caller::new(address, "/v1/completions").json(&body),
            not_run(404, "unknown_model"),
        ),
        (
            Caller::completion(address, 1).header("authorization", "Bearer other"),
            not_run(401, "bad_token"),
        ),
        (
            Caller::completion(address, 1).header("authorization", "Basic x"),
            not_run(401, "bad_token"),
        ),
        (
            Caller::completion(address, 1).header("x-priority", "other"),
            not_run(400, "unknown_priority"),
        ),
    ];

    for (caller, expected) in cases {
        assert_eq!(a_rejection_of(&system, caller).await, expected);
    }
}

#[tokio::test]
async fn headers_that_do_not_parse_are_refused() {
    let system = a_system().start().await;
    let headers = [
        ("x-deadline-ms", "soon"),
        ("x-deadline-ms", "0"),
        ("x-deadline-ms", "-5"),
        ("x-priority", ""),
        ("idempotency-key", "two words"),
    ];

    for (name, value) in headers {
        let caller = Caller::completion(system.address(0), 1).header(name, value);
        let refusal = a_rejection_of(&system, caller).await;

        assert_eq!(refusal, not_run(400, "bad_header"), "{name}: {value}");
    }
}

#[tokio::test]
async fn a_repeat_that_does_not_parse_is_not_said_not_to_have_run() {
    let system = a_system().start().await;
    let caller = Caller::completion(system.address(0), 1)
        .header("idempotency-key", "01a3185c-5000-7000-8000-000000000001")
        .header("x-deadline-ms", "soon");

    let refusal = a_rejection_of(&system, caller).await;

    let unknown = (400, "bad_header".to_owned(), "unknown".to_owned());
    assert_eq!(refusal, unknown);
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused() {
    let system = a_system().start().await;
    let address = system.address(0);
    let cases = [
        (Caller::get(address, "/other"), not_run(404, "not_found")),
        (
            Caller::get(address, "/v1/completions"),
            not_run(405, "method_not_allowed"),
        ),
        (
            Caller::get(address, "/services/booking/stock/../book"),
            not_run(400, "bad_path"),
        ),
        (
            Caller::get(address, "/services/booking/stock/%2e%2E/book"),
            not_run(400, "bad_path"),
        ),
        (
            Caller::get(address, "/services/booking//book"),
            not_run(400, "bad_path"),
        ),
        (
            Caller::get(address, "/services/other/x"),
            not_run(404, "unknown_service"),
        ),
    ];

    for (caller, expected) in cases {
        assert_eq!(a_rejection_of(&system, caller).await, expected);
    }
}

#[tokio::test]
async fn a_forged_event_id_is_refused() {
    let system = a_system().start().await;
    let mut stream = Caller::stream(system.address(0), 3).open().await;
    let id = stream.next().await.unwrap().id;
    let (head, tail) = id.split_at(id.len() - 1);
    let forged = format!("{head}{}", if tail == "0" { "1" } else { "0" });

    let answer = Caller::stream(system.address(0), 3)
        .header("last-event-id", &forged)
        .send()
        .await;

    assert_eq!(answer.refusal(), not_run(400, "bad_event_id"));
}

#[tokio::test]
async fn a_router_without_configuration_is_not_ready_and_says_when_to_come_back() {
    let mut system = a_system().without_configuration().start().await;
    let address = system.address(0);

    let ready = Caller::get(address, "/readyz").send().await;
    let answer = Caller::completion(address, 1).send().await;

    assert_eq!(ready.status, 503);
    assert_eq!(answer.refusal(), not_run(503, "not_configured"));
    assert_eq!(answer.headers["retry-after"], "1");
    system.apply(1);
    system.routers.remove(0).wait_for_config(1).await;
    assert_eq!(Caller::get(address, "/readyz").send().await.status, 200);
}

#[tokio::test]
async fn refusals_are_counted_by_reason_and_outcome() {
    let system = a_system().start().await;
    let address = system.address(0);
    Caller::new(address, "/v1/completions")
        .body("{")
        .send()
        .await;
    Caller::completion(address, 1)
        .header("authorization", "Bearer other")
        .send()
        .await;

    let metrics = Caller::get(address, "/metrics").send().await.body;

    let count = |reason: &str| {
        let line =
            format!("turmerichollow_refusals_total{{outcome=\"not_run\",reason=\"{reason}\"}} 1");
        metrics.contains(&line)
    };
    assert!(count("bad_body") && count("bad_token"), "{metrics}");
}
