//! Explanations of placement, compared with the placement itself.

mod common;

use policy::Action;
use policy::CallRequest;
use policy::Event;
use policy::Outcome;
use policy::Reason;
use policy::Verdict;

use crate::common::completion;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::START;

fn request(call: u64) -> CallRequest {
    match completion(call) {
        Event::Call(req) => *req,
        other => panic!("not a call: {other:?}"),
    }
}

#[test]
fn a_completion_goes_to_the_engine_that_the_explanation_names() {
    let mut node = node(&config(20));
    for call in 0..30 {
        let explained = node
            .explain(START, &request(call))
            .expect("it is explained");

        let actions = step(&mut node, START, completion(call));

        let dispatched = actions.iter().find_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch.server_name.clone()),
            _ => None,
        });
        let server = dispatched.expect("it is dispatched");
        assert_eq!(explained.engines[0].server, server);
        assert_eq!(explained.verdict, Verdict::Sent { server });
    }
}

#[test]
fn an_explanation_changes_nothing() {
    let mut with_explanation = node(&config(5));
    let mut without_explanation = node(&config(5));
    with_explanation
        .explain(START, &request(1))
        .expect("it is explained");

    let after = step(&mut with_explanation, START, completion(1));

    assert_eq!(after, step(&mut without_explanation, START, completion(1)));
}

#[test]
fn the_cost_components_of_an_explanation_add_up() {
    let node = node(&config(5));

    let explained = node.explain(START, &request(1)).expect("it is explained");

    for engine in &explained.engines {
        let sum = engine.wait_ms + engine.prefill_ms + engine.price_ms + engine.preference_ms;
        assert!((sum - engine.cost_ms).abs() < 1e-6, "{engine:?}");
    }
}

#[test]
fn an_unknown_token_is_refused_as_not_run() {
    let node = node(&config(5));
    let req = CallRequest {
        token_sha256: "another".to_owned(),
        ..request(1)
    };

    let refusal = node.explain(START, &req).expect_err("it is refused");

    assert_eq!(refusal.reason(), Reason::BadToken);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}
