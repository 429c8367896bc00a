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

use completions_trial::completion;
use completions_trial::head;
use completions_trial::CompletionsTrial;
use completions_trial::MAX_BODY_BYTES;
use crowd_caller::send_and_hold;
use standins::SERVICE;
use standins::WORKSPACES;
use trial::alone;

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
