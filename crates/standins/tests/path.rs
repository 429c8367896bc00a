//! The whole path through sockets: caller, router, engine or service, platform.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Method;
use standins::time_after;
use standins::Call;
use standins::CallResponse;
use standins::CallerError;
use standins::CompletionRequest;
use standins::Engine;
use standins::EngineRecord;
use standins::Fleet;
use standins::FleetSettings;
use standins::PromptHash;
use standins::Received;
use standins::MODEL;
use standins::SERVICE;
use tokio::task::JoinSet;
use tokio::time::sleep;

const PROMPT: &str = "Which felt suits a wide brim?";
const TOKENS: u32 = 40;

/// Text in a prompt that crashes engines.
const MARKER: &str = "crash the engine";

/// Streams that run beside a crashing request.
const INNOCENTS: usize = 40;

/// Start of the keys under which calls are claimed.
const CLAIMS: &str = "once/";

/// A fleet whose streams last long enough to break something in their middle.
async fn slow_fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers).each_engine(|engine| engine.decode_ms = 20);
    Fleet::start(settings).await.expect("starts")
}

async fn fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers);
    Fleet::start(settings).await.expect("starts")
}

async fn crashable_fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers).each_engine(|engine| {
        engine.decode_ms = 20;
        engine.crash_marker = Some(MARKER.to_owned());
    });
    Fleet::start(settings).await.expect("starts")
}

/// A completion that crashes each engine which runs it.
fn crashing() -> CompletionRequest {
    CompletionRequest {
        prompt: format!("please {MARKER} now"),
        ..completion()
    }
}

fn completion() -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens: TOKENS,
        ..CompletionRequest::default()
    }
}

fn booking(key: &str) -> Call {
    Call {
        method: Method::POST,
        path: format!("{SERVICE}/blocks?day=3"),
        key: Some(key.to_owned()),
        body: Bytes::from("two blocks"),
    }
}

/// Returns an idempotency key, a UUIDv7 of now.
fn key(number: u8) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.expect("after 1970").as_millis();
    let ms = u64::try_from(ms).expect("before the year 584 million");
    let random = [number; 10];
    uuid::Builder::from_unix_timestamp_millis(ms, &random)
        .into_uuid()
        .to_string()
}

fn whole_text() -> String {
    PromptHash::new(PROMPT).text(TOKENS)
}

/// Returns the engine that ran the only stream.
fn runner(fleet: &Fleet) -> usize {
    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    let engines = fleet.engines.iter();
    let mut runners = engines.map(|engine| engine.ledger().iter().any(ran));
    runners.position(|has_run| has_run).expect("has run")
}

/// Returns how many streams engines have begun.
fn runs(fleet: &Fleet) -> usize {
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    ledgers.filter(ran).count()
}

fn holds_new_weights(engine: &Engine) -> bool {
    let weights = engine.load().and_then(|load| load.weights);
    weights.is_some_and(|weights| weights.iter().any(|held| held.version == 2))
}

fn finished(fleet: &Fleet) -> usize {
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    ledgers
        .filter(|record| matches!(record, EngineRecord::Finished { .. }))
        .count()
}

/// Repeats a booking until it isn't refused.
async fn booked(fleet: &Fleet, router: usize, booking: &Call) -> CallResponse {
    loop {
        match fleet.caller(router).call(booking).await {
            Ok(answer) => return answer,
            Err(CallerError::Refused { .. }) => sleep(Duration::from_millis(20)).await,
            Err(e) => panic!("failed otherwise: {e}"),
        }
    }
}

fn outcome<T>(result: Result<T, CallerError>) -> (String, String) {
    match result {
        Err(CallerError::Refused {
            reason, outcome, ..
        }) => (reason, outcome),
        Err(e) => panic!("failed otherwise: {e}"),
        Ok(_) => panic!("not refused"),
    }
}

fn words(reason: &str, outcome: &str) -> (String, String) {
    (reason.to_owned(), outcome.to_owned())
}

#[tokio::test]
async fn a_completion_comes_whole_and_in_order() {
    let fleet = fleet(2, 1).await;

    let received = fleet.caller(0).complete_and_collect(&completion()).await;

    let received = received.expect("whole");
    assert_eq!(received.text, whole_text());
    assert!(received.complete);
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_engine_dies() {
    let fleet = slow_fleet(2, 1).await;
    let events = fleet.caller(0).complete(&completion()).await;
    let mut events = events.expect("runs");
    let mut received = Received::default();
    events.read_until(&mut received, 3).await.expect("goes on");

    fleet.engines[runner(&fleet)].kill().await;
    events.read_all(&mut received).await.expect("goes on");

    assert_eq!(received.text, whole_text());
    assert_eq!(finished(&fleet), 1);
}

#[tokio::test]
async fn a_graceful_stop_cuts_no_stream() {
    let mut fleet = slow_fleet(2, 1).await;
    let events = fleet.caller(0).complete(&completion()).await;
    let mut events = events.expect("runs");
    let mut received = Received::default();
    events.read_until(&mut received, 3).await.expect("goes on");

    let router = fleet.take_router(0);
    let deadline = time_after(Duration::from_secs(30));
    let ((), read) = tokio::join!(router.shutdown(deadline), events.read_all(&mut received));

    read.expect("goes on");
    assert_eq!(received.text, whole_text());
}

#[tokio::test]
async fn a_stream_is_resumed_at_another_router() {
    let mut fleet = slow_fleet(2, 2).await;
    let events = fleet.caller(0).complete(&completion()).await;
    let mut events = events.expect("runs");
    let mut received = Received::default();
    events.read_until(&mut received, 3).await.expect("goes on");

    fleet.take_router(0).kill().await;
    let cut = events.read_all(&mut received).await;
    let resumed = CompletionRequest {
        last_event_id: received.last_id.clone(),
        ..completion()
    };
    let events = fleet.caller(1).complete(&resumed).await;
    let mut events = events.expect("is resumed");
    events.read_all(&mut received).await.expect("goes on");

    assert!(cut.is_err());
    assert_eq!(received.text, whole_text());
    assert_eq!(finished(&fleet), 1);
}

#[tokio::test]
async fn a_stream_cannot_be_resumed_once_its_engine_has_restarted() {
    let mut fleet = slow_fleet(1, 2).await;
    let events = fleet.caller(0).complete(&completion()).await;
    let mut events = events.expect("runs");
    let mut received = Received::default();
    events.read_until(&mut received, 3).await.expect("goes on");
    fleet.take_router(0).kill().await;
    fleet.engines[0].kill().await;
    fleet.engines[0].restart().await;

    let resumed = CompletionRequest {
        last_event_id: received.last_id.clone(),
        ..completion()
    };
    let events = fleet.caller(1).complete(&resumed).await;

    assert_eq!(outcome(events).0, "stream_gone");
}

#[tokio::test]
async fn a_booking_repeated_at_another_router_runs_once() {
    let fleet = fleet(1, 2).await;
    let booking = booking(&key(1));

    let first = fleet.caller(0).call(&booking).await.expect("runs");
    let again = fleet.caller(1).call(&booking).await.expect("is answered");

    assert_eq!((first.status, first.replayed), (201, false));
    assert_eq!((again.status, again.replayed), (201, true));
    assert_eq!(first.body, again.body);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_booking_sent_to_two_routers_at_once_runs_once() {
    let fleet = fleet(1, 2).await;
    fleet.service.set_delay_ms(50);
    let booking = booking(&key(2));
    let callers = [fleet.caller(0), fleet.caller(1)];

    let (left, right) = tokio::join!(callers[0].call(&booking), callers[1].call(&booking));

    assert_eq!(fleet.service.ledger().len(), 1);
    let won = [&left, &right]
        .iter()
        .filter(|answer| answer.is_ok())
        .count();
    assert!(won >= 1, "{left:?} {right:?}");
}

#[tokio::test]
async fn a_booking_whose_service_dies_after_running_is_unknown_and_not_run_again() {
    let fleet = fleet(1, 2).await;
    fleet.service.disconnect_after_running(1);
    let booking = booking(&key(3));

    let first = fleet.caller(0).call(&booking).await;
    let again = fleet.caller(1).call(&booking).await;

    assert_eq!(outcome(first).1, "unknown");
    assert_eq!(outcome(again).1, "unknown");
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_booking_without_a_key_is_not_run() {
    let fleet = fleet(1, 1).await;
    let booking = Call {
        key: None,
        ..booking("")
    };

    let refused = fleet.caller(0).call(&booking).await;

    assert_eq!(outcome(refused), words("key_missing", "not_run"));
    assert_eq!(fleet.service.ledger(), []);
}

#[tokio::test]
async fn a_booking_whose_claim_loses_its_answer_runs_once() {
    let fleet = fleet(1, 2).await;
    let booking = booking(&key(4));
    fleet.platform.lose_responses(CLAIMS, 1);

    let first = fleet.caller(0).call(&booking).await;
    let again = fleet.caller(1).call(&booking).await;

    assert_eq!(first.expect("runs").status, 201);
    assert!(again.expect("is answered").replayed);
    assert_eq!(fleet.platform.responses_to_lose(), 0);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn while_the_platform_is_down_completions_go_on_and_bookings_do_not_run() {
    let fleet = fleet(2, 2).await;
    let booking = booking(&key(5));
    fleet.platform.set_outage(true);

    let completed = fleet.caller(0).complete_and_collect(&completion()).await;
    let refused = fleet.caller(0).call(&booking).await;
    fleet.platform.set_outage(false);
    let booked = booked(&fleet, 1, &booking).await;

    assert_eq!(completed.expect("whole").text, whole_text());
    assert_eq!(outcome(refused).0, "platform_unavailable");
    assert_eq!(booked.status, 201);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn a_lookup_is_answered_while_the_platform_is_down() {
    let mut fleet = fleet(1, 1).await;
    let lookup = Call {
        method: Method::GET,
        path: format!("{SERVICE}/stock/felt"),
        key: None,
        body: Bytes::new(),
    };
    fleet.stop_platform().await;

    let answer = fleet.caller(0).call(&lookup).await;

    assert_eq!(answer.expect("is answered").status, 200);
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_stream() {
    let fleet = fleet(2, 1).await;
    let caller = fleet.caller(0);
    caller.complete_and_collect(&completion()).await.expect("whole");
    let leaving = runner(&fleet);

    fleet.engines[leaving].leave();
    for _ in 0..5 {
        let received = caller.complete_and_collect(&completion()).await;
        assert_eq!(received.expect("whole").text, whole_text());
    }

    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    let ledgers = fleet.engines.iter().map(|engine| engine.ledger());
    let runs: Vec<usize> = ledgers
        .map(|ledger| ledger.iter().filter(|record| ran(record)).count())
        .collect();
    assert_eq!((runs[leaving], runs[1 - leaving]), (1, 5));
}

#[tokio::test]
async fn a_crashing_request_takes_down_two_engines_and_no_neighbour() {
    let fleet = crashable_fleet(4, 2).await;
    let neighbour = fleet.caller(0);
    let neighbour = tokio::spawn(async move { neighbour.complete_and_collect(&completion()).await });
    let crashing = crashing();

    let mut reasons = Vec::new();
    for attempt in 0..6 {
        let caller = fleet.caller(attempt % 2);
        reasons.push(outcome(caller.complete_and_collect(&crashing).await).0);
    }

    let crashed = |record: &EngineRecord| matches!(record, EngineRecord::Crashed { .. });
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    let crashes = ledgers.filter(crashed).count();
    assert!(crashes <= 2, "{crashes} crashes, {reasons:?}");
    assert_eq!(reasons.last().map(String::as_str), Some("crashed_runners"));
    let received = neighbour.await.expect("runs").expect("whole");
    assert_eq!(received.text, whole_text());
}

#[tokio::test]
async fn new_weights_reach_all_engines_and_no_more_than_three_load_at_once() {
    let mut fleet = fleet(6, 2).await;

    let version = fleet.publish_weights(2).await.expect("published");
    for router in 0..2 {
        fleet.router(router).wait_for_config(version).await;
    }
    while !fleet.engines.iter().all(holds_new_weights) {
        sleep(Duration::from_millis(20)).await;
    }

    assert!(fleet.weight_store.highest_loads() <= 3);
    let received = fleet.caller(1).complete_and_collect(&completion()).await;
    assert_eq!(received.expect("whole").text, whole_text());
    let served = fleet.engines[runner(&fleet)].ledger();
    let with_new = |record: &EngineRecord| matches!(record, EngineRecord::Ran { weights_version, .. } if *weights_version == 2);
    assert!(served.iter().any(with_new), "{served:?}");
}

#[tokio::test]
async fn a_new_configuration_is_in_force_on_each_router() {
    let mut fleet = fleet(1, 3).await;

    let version = fleet.publish_weights(1).await.expect("published");

    for router in 0..3 {
        fleet.router(router).wait_for_config(version).await;
        let received = fleet.caller(router).complete_and_collect(&completion()).await;
        assert_eq!(received.expect("whole").text, whole_text());
    }
}

#[tokio::test]
async fn a_restarted_platform_is_used_again() {
    let mut fleet = fleet(1, 1).await;
    let address = fleet.stop_platform().await;
    let booking = booking(&key(6));
    let refused = fleet.caller(0).call(&booking).await;

    fleet.start_platform(address).await;
    let booked = booked(&fleet, 0, &booking).await;

    assert_eq!(outcome(refused).0, "platform_unavailable");
    assert_eq!(booked.status, 201);
    assert_eq!(fleet.service.ledger().len(), 1);
}

#[tokio::test]
async fn routers_that_all_restart_send_prompts_where_they_are_cached() {
    let mut fleet = fleet(4, 2).await;
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
        first.expect("whole");
    }

    for router in 0..2 {
        fleet.take_router(router).kill().await;
    }
    let restarted = fleet.start_router().await.expect("starts");
    let before = fleet.cache_hits();
    for completion in &completions {
        let again = fleet.caller(restarted).complete_and_collect(completion).await;
        again.expect("whole");
    }

    assert_eq!(fleet.cache_hits() - before, completions.len());
}

#[tokio::test]
async fn innocents_that_share_their_engines_with_a_crashing_request_get_through() {
    let fleet = crashable_fleet(4, 2).await;
    let mut innocents = JoinSet::new();
    for number in 0..INNOCENTS {
        let caller = fleet.caller(number % 2);
        let prompt = format!("{PROMPT} ({number})");
        innocents.spawn(async move {
            let completion = CompletionRequest {
                prompt: prompt.clone(),
                ..completion()
            };
            let received = caller.complete_and_collect(&completion).await?;
            Ok::<bool, CallerError>(received.text == PromptHash::new(&prompt).text(TOKENS))
        });
    }
    while runs(&fleet) < INNOCENTS {
        sleep(Duration::from_millis(1)).await;
    }

    let refused = fleet.caller(0).complete_and_collect(&crashing()).await;
    let results = innocents.join_all().await;

    assert_eq!(outcome(refused).0, "crashed_runners");
    let whole = results.iter().filter(|result| **result == Ok(true));
    assert_eq!(whole.count(), INNOCENTS, "{results:?}");
}
