//! Fleets, requests and views of the ledgers for the tests over sockets.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Method;
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
use standins::TokenEvents;
use standins::MODEL;
use standins::SERVICE;
use tokio::time::sleep;

/// Prompt of most completions.
pub const PROMPT: &str = "Which felt suits a wide brim?";
/// Number of tokens of each completion.
pub const TOKENS: u32 = 40;

/// Tokens that are read of a stream before a fault.
const FIRST_TOKENS: u32 = 3;

/// Text that crashes an engine when a prompt contains it.
pub const CRASH_MARKER: &str = "crash the engine";

/// Starts a fleet whose streams last long enough to inject faults while they run.
pub async fn start_slow_fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers).each_engine(|engine| engine.decode_ms = 20);
    Fleet::start(settings).await.expect("starts")
}

/// Starts a fleet with default engines.
pub async fn start_fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers);
    Fleet::start(settings).await.expect("starts")
}

/// Starts a fleet whose engines crash on prompts that contain [`CRASH_MARKER`].
pub async fn start_crashable_fleet(engines: usize, routers: usize) -> Fleet {
    let settings = FleetSettings::new(engines, routers).each_engine(|engine| {
        engine.decode_ms = 20;
        engine.crash_marker = Some(CRASH_MARKER.to_owned());
    });
    Fleet::start(settings).await.expect("starts")
}

/// Returns a completion request that crashes each engine that runs it.
pub fn poison_request() -> CompletionRequest {
    CompletionRequest {
        prompt: format!("please {CRASH_MARKER} now"),
        ..completion()
    }
}

/// Returns a request for a completion of [`PROMPT`].
pub fn completion() -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens: TOKENS,
        ..CompletionRequest::default()
    }
}

/// Returns a call that adds an entry, which is not idempotent.
pub fn booking(key: &str) -> Call {
    Call {
        method: Method::POST,
        path: format!("{SERVICE}/blocks?day=3"),
        key: Some(key.to_owned()),
        body: Bytes::from("two blocks"),
    }
}

/// Returns an idempotency key: a UUIDv7 of the current time with `number` in each random byte.
pub fn idempotency_key(number: u8) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.expect("after 1970").as_millis();
    let ms = u64::try_from(ms).expect("fits in 64 bits");
    let random = [number; 10];
    uuid::Builder::from_unix_timestamp_millis(ms, &random)
        .into_uuid()
        .to_string()
}

/// Returns the text of a complete response to [`PROMPT`].
pub fn expected_text() -> String {
    PromptHash::new(PROMPT).text(TOKENS)
}

/// Returns the index of the first engine that ran a stream.
pub fn serving_engine(fleet: &Fleet) -> usize {
    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    let engines = fleet.engines.iter();
    let mut ran_by_engine = engines.map(|engine| engine.ledger().iter().any(ran));
    ran_by_engine
        .position(|has_run| has_run)
        .expect("an engine ran a stream")
}

/// Returns the number of streams that engines have started.
pub fn started_streams(fleet: &Fleet) -> usize {
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    let ran = |record: &EngineRecord| matches!(record, EngineRecord::Ran { .. });
    ledgers.filter(ran).count()
}

/// Returns whether an engine has loaded version 2 of the weights.
pub fn has_new_weights(engine: &Engine) -> bool {
    let weights = engine.load().and_then(|load| load.weights);
    weights.is_some_and(|weights| weights.iter().any(|loaded| loaded.version == 2))
}

/// Returns the number of streams that engines have finished.
pub fn finished_streams(fleet: &Fleet) -> usize {
    let ledgers = fleet.engines.iter().flat_map(|engine| engine.ledger());
    ledgers
        .filter(|record| matches!(record, EngineRecord::Finished { .. }))
        .count()
}

/// Retries a booking until it is not refused.
pub async fn retry_until_booked(fleet: &Fleet, router: usize, booking: &Call) -> CallResponse {
    loop {
        match fleet.caller(router).call(booking).await {
            Ok(response) => return response,
            Err(CallerError::Refused { .. }) => sleep(Duration::from_millis(20)).await,
            Err(e) => panic!("unexpected error: {e}"),
        }
    }
}

/// Returns reason and outcome of a refusal; panics on any other result.
pub fn refusal<T>(result: Result<T, CallerError>) -> (String, String) {
    match result {
        Err(CallerError::Refused {
            reason, outcome, ..
        }) => (reason, outcome),
        Err(e) => panic!("unexpected error: {e}"),
        Ok(_) => panic!("expected a refusal"),
    }
}

/// Returns reason and outcome of an expected refusal.
pub fn expected_refusal(reason: &str, outcome: &str) -> (String, String) {
    (reason.to_owned(), outcome.to_owned())
}

/// Starts a completion at the first router, and reads its first tokens.
pub async fn begin_completion(fleet: &Fleet) -> (TokenEvents, Received) {
    let events = fleet.caller(0).complete(&completion()).await;
    let mut events = events.expect("runs");
    let mut received = Received::default();
    events
        .read_until(&mut received, FIRST_TOKENS)
        .await
        .expect("stream continues");
    (events, received)
}
