//! Runs platform, engines, plain service and routers in one process on loopback, sends requests
//! and prints whether they were handled correctly.

mod figures;
mod report;
mod workload;

use std::error::Error;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Method;
use standins::Call;
use standins::Caller;
use standins::CompletionRequest;
use standins::Fleet;
use standins::FleetSettings;
use standins::PromptHash;
use standins::Received;
use standins::MODEL;
use standins::SERVICE;

use crate::figures::Figures;
use crate::report::Report;
use crate::workload::Route;
use crate::workload::Workload;

/// Number of engines of each fleet.
const ENGINES: usize = 4;

/// Number of routers of the main fleet.
const ROUTERS: usize = 2;

/// Number of tokens of the stream whose router is stopped.
const STREAM_TOKENS: u32 = 60;

/// Number of tokens after which its router is stopped.
const TOKENS_BEFORE_STOP: u32 = 20;

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::default();
    if let Err(e) = run(&mut report).await {
        report.check("the path runs to its end", false, &e.to_string());
    }
    match report.all_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs all steps; failed checks are counted in `report`.
async fn run(report: &mut Report) -> Result<()> {
    let mut fleet = Fleet::start(settings(ROUTERS)).await?;
    report.print(&format!(
        "started a platform, {ENGINES} engines, a plain service and {ROUTERS} routers; configuration version {} in force",
        fleet.router(0).config_version()
    ));
    compare_routing(&fleet, report).await?;
    book_twice(&fleet, report).await?;
    stop_router(&mut fleet, report).await
}

/// Returns the settings of a fleet with this number of routers.
fn settings(routers: usize) -> FleetSettings {
    FleetSettings::new(ENGINES, routers).each_engine(|engine| {
        engine.prefill_tokens_per_ms = 100;
        engine.decode_ms = 5;
        engine.cache_blocks = 40;
    })
}

/// Runs the same workload through the routers and, on a second fleet, directly against randomly
/// chosen engines.
async fn compare_routing(fleet: &Fleet, report: &mut Report) -> Result<()> {
    let workload = Workload::new(MODEL);
    let callers = (0..ROUTERS).map(|router| fleet.caller(router));
    let routed = workload.run(&Route::Routers(callers.collect())).await?;
    let routed_rate = figures::hit_rate(&fleet.engines);
    let random_fleet = Fleet::start(settings(0)).await?;
    let engines = random_fleet.engines.iter().map(|engine| engine.address());
    let random = workload.run(&Route::random(engines.collect())).await?;
    let random_rate = figures::hit_rate(&random_fleet.engines);
    report.print(&format_figures("routers", &routed, routed_rate));
    report.print(&format_figures("random", &random, random_rate));
    report.check(
        "every stream comes whole and in order",
        routed.complete == workload.requests(),
        &format!("{} of {}", routed.complete, workload.requests()),
    );
    report.check(
        "routers reuse more of the prompts than random routing does",
        routed_rate > random_rate,
        &format!("{routed_rate:.3} against {random_rate:.3}"),
    );
    Ok(())
}

/// Returns the measurements of one way of routing as a line of the report.
fn format_figures(name: &str, figures: &Figures, hit_rate: f64) -> String {
    format!(
        "{name:>7}: {} requests, hit rate {hit_rate:.3}, first token p50 {:.1} ms, p99 {:.1} ms, outcomes {}",
        figures.requests(),
        figures.first_token_percentile_ms(50),
        figures.first_token_percentile_ms(99),
        figures.format_outcomes()
    )
}

/// Sends a booking to one router and retries it at the other with the same idempotency key.
async fn book_twice(fleet: &Fleet, report: &mut Report) -> Result<()> {
    let booking = Call {
        method: Method::POST,
        path: format!("{SERVICE}/blocks"),
        key: Some(idempotency_key()?),
        body: Bytes::from("two blocks on day three"),
    };
    let first = fleet.caller(0).call(&booking).await?;
    let retried = fleet.caller(1).call(&booking).await?;
    let runs = fleet.service.ledger().len();
    report.print(&format!(
        "booking: status {}; its repeat through the other router: status {}, first answer again: {}",
        first.status, retried.status, retried.replayed
    ));
    report.check("the booking runs once", runs == 1, &format!("{runs} runs"));
    report.check(
        "its repeat gets the first answer",
        retried.replayed && first.body == retried.body,
        &String::from_utf8_lossy(&retried.body),
    );
    Ok(())
}

/// Returns an idempotency key: a UUIDv7 of the current time.
fn idempotency_key() -> Result<String> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let ms = u64::try_from(since_epoch.as_millis())?;
    let random = rand::random::<[u8; 10]>();
    let key = uuid::Builder::from_unix_timestamp_millis(ms, &random);
    Ok(key.into_uuid().to_string())
}

/// Stops a router in the middle of a stream and resumes the stream at the other router.
async fn stop_router(fleet: &mut Fleet, report: &mut Report) -> Result<()> {
    let other = fleet.caller(1);
    let completion = CompletionRequest {
        model: MODEL.to_owned(),
        prompt: "Describe the spring pattern book.".to_owned(),
        max_tokens: STREAM_TOKENS,
        ..CompletionRequest::default()
    };
    let mut received = Received::default();
    let mut events = fleet.caller(0).complete(&completion).await?;
    events.read_until(&mut received, TOKENS_BEFORE_STOP).await?;
    fleet.take_router(0).kill().await;
    // Bytes already sent still arrive before the connection breaks.
    let interrupted = events.read_all(&mut received).await.is_err();
    let before = received.tokens;
    resume(&other, completion.clone(), &mut received).await?;
    report.print(&format!(
        "stream: its router was stopped after {before} tokens, the other one resumed it up to {}",
        received.tokens
    ));
    report.check(
        "the stop cuts the stream",
        interrupted && before < STREAM_TOKENS,
        &format!("after {before} tokens"),
    );
    let expected = PromptHash::new(&completion.prompt).text(STREAM_TOKENS);
    report.check(
        "the resumed stream is whole and in order",
        received.complete && received.text == expected,
        &format!("{} of {STREAM_TOKENS} tokens", received.tokens),
    );
    Ok(())
}

/// Resumes a stream after the last event received and reads it to its end.
async fn resume(
    caller: &Caller,
    completion: CompletionRequest,
    received: &mut Received,
) -> Result<()> {
    let resumed = CompletionRequest {
        last_event_id: received.last_id.clone(),
        ..completion
    };
    let mut events = caller.complete(&resumed).await?;
    events.read_all(received).await?;
    Ok(())
}
