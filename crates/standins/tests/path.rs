//! End-to-end tests over sockets: caller, router, engine or plain service, and platform.

mod path_fixtures;

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use standins::time_after;
use standins::Call;
use standins::CallerError;
use standins::CompletionRequest;
use standins::EngineRecord;
use standins::PromptHash;
use standins::SERVICE;
use tokio::task::JoinSet;
use tokio::time::sleep;

use path_fixtures::begin_completion;
use path_fixtures::booking;
use path_fixtures::completion;
use path_fixtures::expected_refusal;
use path_fixtures::expected_text;
use path_fixtures::finished_streams;
use path_fixtures::has_new_weights;
use path_fixtures::idempotency_key;
use path_fixtures::poison_request;
use path_fixtures::refusal;
use path_fixtures::retry_until_booked;
use path_fixtures::serving_engine;
use path_fixtures::start_crashable_fleet;
use path_fixtures::start_fleet;
use path_fixtures::start_slow_fleet;
use path_fixtures::started_streams;
use path_fixtures::PROMPT;
use path_fixtures::TOKENS;

/// Number of requests that run on the same engines as a poison request.
const CO_LOCATED_REQUESTS: usize = 40;

/// Prefix of the keys of call records, which claim calls.
const CLAIM_PREFIX: &str = "once/";

#[tokio::test]
async fn a_completion_is_complete_and_in_order() {
    let fleet = start_fleet(2, 1).await;

    let received = fleet.caller(0).complete_and_collect(&completion()).await;

    let received = received.expect("stream completes");
    assert_eq!(received.text, expected_text());
    assert!(received.complete);
}

#[tokio::test]
async fn a_stream_continues_on_another_engine_after_a_crash() {
    let fleet = start_slow_fleet(2, 1).await;
    let (mut events, mut received) = begin_completion(&fleet).await;

    fleet.engines[serving_engine(&fleet)].kill().await;
    events
        .read_all(&mut received)
        .await
        .expect("stream continues");

    assert_eq!(received.text, expected_text());
    assert_eq!(finished_streams(&fleet), 1);
}

#[tokio::test]
async fn a_graceful_shutdown_finishes_streams_in_flight() {
    let mut fleet = start_slow_fleet(2, 1).await;
    let (mut events, mut received) = begin_completion(&fleet).await;

    let router = fleet.take_router(0);
    let deadline = time_after(Duration::from_secs(30));
    let ((), read) = tokio::join!(router.shutdown(deadline), events.read_all(&mut received));

    read.expect("stream continues");
    assert_eq!(received.text, expected_text());
}

#[tokio::test]
async fn a_stream_is_resumed_at_another_router() {
    let mut fleet = start_slow_fleet(2, 2).await;
    let (mut events, mut received) = begin_completion(&fleet).await;

    fleet.take_router(0).kill().await;
    let interrupted = events.read_all(&mut received).await;
    let resumed = CompletionRequest {
        last_event_id: received.last_id.clone(),
        ..completion()
    };
    let events = fleet.caller(1).complete(&resumed).await;
    let mut events = events.expect("resumes");
    events
        .read_all(&mut received)
        .await
        .expect("stream continues");

    assert!(interrupted.is_err());
    assert_eq!(received.text, expected_text());
    assert_eq!(finished_streams(&fleet), 1);
}

#[tokio::test]
async fn a_stream_cannot_be_resumed_once_its_engine_has_restarted() {
    let mut fleet = start_slow_fleet(1, 2).await;
    let (_events, received) = begin_completion(&fleet).await;
    fleet.take_router(0).kill().await;
    fleet.engines[0].kill().await;
    fleet.engines[0].restart().await;

    let resumed = CompletionRequest {
        last_event_id: received.last_id.clone(),
        ..completion()
    };
    let events = fleet.caller(1).complete(&resumed).await;

    assert_eq!(refusal(events).0, "stream_gone");
}

#[tokio::test]
async fn a_booking_retried_at_another_router_runs_once() {
    let fleet = start_fleet(1, 2).await;
    let booking = booking(&idempotency_key(1));

    let first = fleet.caller(0).call(&booking).await.expect("runs");
    let retried = fleet.caller(1).call(&booking).await.expect("responds");

    assert_eq!((first.status, first.replayed), (201, false));
    assert_eq!((retried.status, retried.replayed), (201, true));
    assert_eq!(first.body, retried.body);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_booking_sent_to_two_routers_at_once_runs_once() {
    let fleet = start_fleet(1, 2).await;
    fleet.service.set_delay_ms(50);
    let booking = booking(&idempotency_key(2));
    let callers = [fleet.caller(0), fleet.caller(1)];

    let (left, right) = tokio::join!(callers[0].call(&booking), callers[1].call(&booking));

    assert_eq!(fleet.service.ledger().len(), 1);
    let succeeded = [&left, &right]
        .iter()
        .filter(|response| response.is_ok())
        .count();
    assert!(succeeded >= 1, "{left:?} {right:?}");
}

#[tokio::test]
async fn a_booking_whose_service_disconnects_has_an_unknown_outcome_and_runs_once() {
    let fleet = start_fleet(1, 2).await;
    fleet.service.disconnect_after_running(1);
    let booking = booking(&idempotency_key(3));

    let first = fleet.caller(0).call(&booking).await;
    let retried = fleet.caller(1).call(&booking).await;

    assert_eq!(refusal(first).1, "unknown");
    assert_eq!(refusal(retried).1, "unknown");
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_booking_without_a_key_is_not_run() {
    let fleet = start_fleet(1, 1).await;
    let booking = Call {
        key: None,
        ..booking("")
    };

    let refused = fleet.caller(0).call(&booking).await;

    assert_eq!(refusal(refused), expected_refusal("key_missing", "not_run"));
    assert_eq!(fleet.service.ledger(), []);
}

#[tokio::test]
async fn a_booking_whose_claim_response_is_lost_runs_once() {
    let fleet = start_fleet(1, 2).await;
    let booking = booking(&idempotency_key(4));
    fleet.platform.lose_responses(CLAIM_PREFIX, 1);

    let first = fleet.caller(0).call(&booking).await;
    let retried = fleet.caller(1).call(&booking).await;

    assert_eq!(first.expect("runs").status, 201);
    assert!(retried.expect("responds").replayed);
    assert_eq!(fleet.platform.responses_to_lose(), 0);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn completions_run_and_bookings_are_refused_while_the_platform_is_down() {
    let fleet = start_fleet(2, 2).await;
    let booking = booking(&idempotency_key(5));
    fleet.platform.set_outage(true);

    let completed = fleet.caller(0).complete_and_collect(&completion()).await;
    let refused = fleet.caller(0).call(&booking).await;
    fleet.platform.set_outage(false);
    let booked = retry_until_booked(&fleet, 1, &booking).await;

    assert_eq!(completed.expect("stream completes").text, expected_text());
    assert_eq!(refusal(refused).0, "platform_unavailable");
    assert_eq!(booked.status, 201);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_lookup_runs_while_the_platform_is_down() {
    let mut fleet = start_fleet(1, 1).await;
    let lookup = Call {
        method: Method::GET,
        path: format!("{SERVICE}/stock/felt"),
        key: None,
        body: Bytes::new(),
    };
    fleet.stop_platform().await;

    let response = fleet.caller(0).call(&lookup).await;

    assert_eq!(response.expect("responds").status, 200);
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_stream() {
    let fleet = start_fleet(2, 1).await;
    let caller = fleet.caller(0);
    caller
        .complete_and_collect(&completion())
        .await
        .expect("stream completes");
    let leaving = serving_engine(&fleet);

    fleet.engines[leaving].leave();
    for _ in 0..5 {
        let received = caller.complete_and_collect(&completion()).await;
        assert_eq!(received.expect("stream completes").text, expected_text());
    }

    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    let ledgers = fleet.engines.iter().map(|engine| engine.ledger());
    let runs: Vec<usize> = ledgers
        .map(|ledger| ledger.iter().filter(|record| ran(record)).count())
        .collect();
    assert_eq!((runs[leaving], runs[1 - leaving]), (1, 5));
}

#[tokio::test]
async fn a_poison_request_crashes_at_most_two_engines_and_a_co_located_request_completes() {
    let fleet = start_crashable_fleet(4, 2).await;
    let co_located = fleet.caller(0);
    let co_located =
        tokio::spawn(async move { co_located.complete_and_collect(&completion()).await });
    let poison_request = poison_request();

    let mut reasons = Vec::new();
    for attempt in 0..6 {
        let caller = fleet.caller(attempt % 2);
        reasons.push(refusal(caller.complete_and_collect(&poison_request).await).0);
    }

    let crashed = |record: &EngineRecord| matches!(record, EngineRecord::Crashed { .. });
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    let crashes = ledgers.filter(crashed).count();
    assert!(crashes <= 2, "{crashes} crashes, {reasons:?}");
    assert_eq!(reasons.last().map(String::as_str), Some("crashed_runners"));
    let received = co_located.await.expect("runs").expect("stream completes");
    assert_eq!(received.text, expected_text());
}

#[tokio::test]
async fn new_weights_reach_all_engines_and_no_more_than_three_load_at_once() {
    let mut fleet = start_fleet(6, 2).await;

    let version = fleet.publish_weights(2).await.expect("published");
    for router in 0..2 {
        fleet.router(router).wait_for_config(version).await;
    }
    while !fleet.engines.iter().all(has_new_weights) {
        sleep(Duration::from_millis(20)).await;
    }

    assert!(fleet.weight_store.highest_loads() <= 3);
    let received = fleet.caller(1).complete_and_collect(&completion()).await;
    assert_eq!(received.expect("stream completes").text, expected_text());
    let served = fleet.engines[serving_engine(&fleet)].ledger();
    let ran_new_version = |record: &EngineRecord| matches!(record, EngineRecord::Ran { weights_version, .. } if *weights_version == 2);
    assert!(served.iter().any(ran_new_version), "{served:?}");
}

#[tokio::test]
async fn a_new_configuration_is_applied_by_each_router() {
    let mut fleet = start_fleet(1, 3).await;

    let version = fleet.publish_weights(1).await.expect("published");

    for router in 0..3 {
        fleet.router(router).wait_for_config(version).await;
        let received = fleet
            .caller(router)
            .complete_and_collect(&completion())
            .await;
        assert_eq!(received.expect("stream completes").text, expected_text());
    }
}

#[tokio::test]
async fn a_restarted_platform_is_used_again() {
    let mut fleet = start_fleet(1, 1).await;
    let address = fleet.stop_platform().await;
    let booking = booking(&idempotency_key(6));
    let refused = fleet.caller(0).call(&booking).await;

    fleet.start_platform(address).await;
    let booked = retry_until_booked(&fleet, 0, &booking).await;

    assert_eq!(refusal(refused).0, "platform_unavailable");
    assert_eq!(booked.status, 201);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn prompts_go_to_the_engines_that_cache_them_after_all_routers_restart() {
    let mut fleet = start_fleet(4, 2).await;
    let prompts = (0..8).map(|number| format!("book {number} ").repeat(1_200));
    let completions: Vec<CompletionRequest> = prompts
        .map(|prompt| CompletionRequest {
            prompt,
            max_tokens: 1,
            ..completion()
        })
        .collect();
    for completion in &completions {
        let first = fleet.caller(0).complete_and_collect(completion).await;
        first.expect("stream completes");
    }

    for router in 0..2 {
        fleet.take_router(router).kill().await;
    }
    let restarted = fleet.start_router().await.expect("starts");
    let before = fleet.cache_hits();
    for completion in &completions {
        let repeated = fleet
            .caller(restarted)
            .complete_and_collect(completion)
            .await;
        repeated.expect("stream completes");
    }

    assert_eq!(fleet.cache_hits() - before, completions.len());
}

#[tokio::test]
async fn requests_co_located_with_a_poison_request_complete() {
    let fleet = start_crashable_fleet(4, 2).await;
    let mut co_located = JoinSet::new();
    for number in 0..CO_LOCATED_REQUESTS {
        let caller = fleet.caller(number % 2);
        let prompt = format!("{PROMPT} ({number})");
        co_located.spawn(async move {
            let completion = CompletionRequest {
                prompt: prompt.clone(),
                ..completion()
            };
            let received = caller.complete_and_collect(&completion).await?;
            Ok::<bool, CallerError>(received.text == PromptHash::new(&prompt).text(TOKENS))
        });
    }
    while started_streams(&fleet) < CO_LOCATED_REQUESTS {
        sleep(Duration::from_millis(1)).await;
    }

    let refused = fleet
        .caller(0)
        .complete_and_collect(&poison_request())
        .await;
    let results = co_located.join_all().await;

    assert_eq!(refusal(refused).0, "crashed_runners");
    let complete = results.iter().filter(|result| **result == Ok(true));
    assert_eq!(complete.count(), CO_LOCATED_REQUESTS, "{results:?}");
}
