//! Crowds of callers that make a router hold bytes, before one process of the program without `forward`.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "crowds/completions_trial.rs"]
mod completions_trial;
#[path = "crowds/crowd_caller.rs"]
mod crowd_caller;
#[path = "crowds/crowd_server.rs"]
mod crowd_server;
#[path = "processes/process_usage.rs"]
mod process_usage;
#[path = "processes/router_process.rs"]
mod router_process;
#[path = "crowds/trial.rs"]
mod trial;

use std::time::Duration;

use standins::SERVICE;
use standins::WORKSPACES;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use completions_trial::completion;
use completions_trial::head;
use completions_trial::CompletionsTrial;
use completions_trial::MAX_BODY_BYTES;
use completions_trial::SERVICE_RESPONSE_END;
use crowd_caller::connect;
use crowd_caller::send_and_hold;
use trial::alone;

/// Interval at which a slow caller reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Checks a router before `count` callers that send `bytes` and read nothing.
fn check_callers(count: usize, bytes: String) {
    alone(async {
        let mut trial = CompletionsTrial::start().await;
        let address = trial.router.address;
        trial.add_callers(count, || {
            let bytes = bytes.clone();
            async move { send_and_hold(address, &bytes).await }
        });
        trial.check().await;
    });
}

// Guards against bodies that no limit counts together.
#[test]
fn callers_of_completions_who_hold_back_the_end_of_long_prompts() {
    let head = head(WORKSPACES[0], "POST", "/v1/completions", MAX_BODY_BYTES);
    let body = "x".repeat(MAX_BODY_BYTES - 1);
    check_callers(60, format!("{head}{body}"));
}

// Guards against heads that no limit counts before they are whole.
#[test]
fn callers_of_completions_who_never_finish_their_heads() {
    let filler = "x".repeat(60_000);
    check_callers(
        1_500,
        format!("POST /v1/completions HTTP/1.1\r\nX-Filler: {filler}"),
    );
}

// Guards against answers that are collected whole, and tokens that are kept for another attempt.
#[test]
fn callers_of_completions_who_ask_for_long_whole_answers() {
    check_callers(100, completion(WORKSPACES[0], 1_000_000, false));
}

// Guards against tokens that are kept for another attempt while their caller reads nothing.
#[test]
fn callers_of_completions_who_read_nothing_of_long_streams() {
    check_callers(1_000, completion(WORKSPACES[0], 1_000_000, true));
}

// Guards against responses of services that no longer count once the http library has them.
#[test]
fn callers_of_services_who_read_nothing_of_large_responses() {
    check_callers(
        80,
        head(
            WORKSPACES[0],
            "GET",
            &format!("/services/{SERVICE}/stock"),
            0,
        ),
    );
}

/// Checks that a caller who reads up to `bytes` bytes at each interval gets a response whole, in calm.
fn check_slow_caller(request: String, bytes: usize, end: &'static [u8]) {
    alone(async {
        let trial = CompletionsTrial::start().await;
        let mut stream = connect(trial.router.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let mut buf = vec![0; bytes];
        while !response.ends_with(end) {
            let len = stream.read(&mut buf).await.unwrap();
            assert_ne!(len, 0, "cut after {} bytes", response.len());
            response.extend_from_slice(&buf[..len]);
            sleep(READ_INTERVAL).await;
        }
        assert!(response.starts_with(b"HTTP/1.1 200"));
    });
}

// Guards against limits that cut an honest caller over a slow link.
#[test]
fn a_slow_caller_of_a_long_stream_gets_it_whole() {
    let request = completion(WORKSPACES[0], 4_000, true);
    check_slow_caller(request, 8 << 10, b"data: [DONE]\n\n\r\n0\r\n\r\n");
}

#[test]
fn a_slow_caller_of_a_large_service_response_gets_it_whole() {
    let request = head(
        WORKSPACES[0],
        "GET",
        &format!("/services/{SERVICE}/stock"),
        0,
    );
    check_slow_caller(request, 64 << 10, SERVICE_RESPONSE_END);
}
