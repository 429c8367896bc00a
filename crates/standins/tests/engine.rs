//! Calls the engine stand-in through the HTTP adapter.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use backend::CacheEvent;
use backend::Chunk;
use backend::Engine as _;
use backend::Error;
use backend::FetchFrom;
use backend::GenerateRequest;
use backend::Generation;
use backend::HttpEngine;
use backend::Order;
use backend::OrderResponse;
use futures::StreamExt;
use platform::MembershipList;
use standins::Engine;
use standins::EngineRecord;
use standins::EngineSettings;
use standins::Platform;
use standins::PromptHash;

/// Maximum wait of long polls, in milliseconds; long enough that no test reaches it.
const LONG_WAIT_MS: u64 = 10_000;

/// Size of one block of a prompt, in bytes.
const BLOCK_BYTES: usize = 8_000;

/// Starts an engine on a free loopback port.
async fn start_engine(settings: EngineSettings) -> Engine {
    let address: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    Engine::start(address, settings).await.expect("starts")
}

/// Returns settings of an engine whose streams last long enough to be interrupted.
fn slow_settings() -> EngineSettings {
    EngineSettings {
        decode_ms: 20,
        ..EngineSettings::default()
    }
}

/// Returns a request of workspace `trust` for new tokens after `prompt`.
fn request(stream: &str, prompt: &str, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        stream: stream.to_owned(),
        workspace: "trust".to_owned(),
        model: "base".to_owned(),
        weights_version: 1,
        incarnation: 0,
        prompt: prompt.to_owned(),
        max_tokens,
        priority: 0,
        delivered: Vec::new(),
        fetch_from: None,
    }
}

/// Reads `tokens` chunks.
async fn take_chunks(generation: &mut Generation, tokens: usize) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    while chunks.len() < tokens {
        let chunk = generation.chunks.next().await.expect("stream continues");
        chunks.push(chunk.expect("valid token"));
    }
    chunks
}

/// Reads all remaining chunks.
async fn collect_chunks(generation: Generation) -> Vec<Chunk> {
    let chunks: Vec<_> = generation.chunks.collect().await;
    chunks
        .into_iter()
        .map(|chunk| chunk.expect("valid token"))
        .collect()
}

/// Returns the joined text of chunks.
fn text(chunks: &[Chunk]) -> String {
    chunks.iter().map(|chunk| chunk.text.as_str()).collect()
}

/// Returns the reason of a refusal; panics on any other result.
fn refusal_reason<T>(result: Result<T, Error>) -> String {
    match result {
        Err(Error::Refused { reason, .. }) => reason,
        Err(e) => panic!("unexpected error: {e}"),
        Ok(_) => panic!("expected a refusal"),
    }
}

async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    while !condition() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_stream_is_complete_and_in_order() {
    let engine = start_engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();

    let req = request("s", "prompt", 20);
    let generation = adapter.generate(engine.address(), req).await;

    let chunks = collect_chunks(generation.expect("runs")).await;
    let positions: Vec<u32> = chunks.iter().map(|chunk| chunk.position).collect();
    assert_eq!(positions, (0..20).collect::<Vec<u32>>());
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(20));
    assert!(chunks[19].last);
}

#[tokio::test]
async fn a_prefix_is_reused_in_its_own_workspace_only() {
    let engine = start_engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(2 * BLOCK_BYTES + 4);
    let first = adapter.generate(engine.address(), request("a", &prompt, 1));
    collect_chunks(first.await.expect("runs")).await;

    let same_workspace = adapter.generate(engine.address(), request("b", &prompt, 1));
    let same_workspace = same_workspace.await.expect("runs").started;
    let mut other_workspace = request("c", &prompt, 1);
    other_workspace.workspace = "school".to_owned();
    let other_workspace = adapter.generate(engine.address(), other_workspace).await;
    let other_workspace = other_workspace.expect("runs").started;

    assert_eq!(
        (same_workspace.prompt_tokens, same_workspace.cached_tokens),
        (4_001, 4_000)
    );
    assert_eq!(other_workspace.cached_tokens, 0);
}

#[tokio::test]
async fn a_stream_continues_on_another_engine_after_a_crash() {
    let first = start_engine(slow_settings()).await;
    let second = start_engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 40);
    let generation = adapter.generate(first.address(), req.clone()).await;
    let mut generation = generation.expect("runs");
    let mut chunks = take_chunks(&mut generation, 3).await;

    first.kill().await;
    let error = loop {
        match generation.chunks.next().await.expect("ends with an error") {
            Ok(chunk) => chunks.push(chunk),
            Err(e) => break e,
        }
    };
    let delivered = chunks.iter().map(|chunk| chunk.text.clone()).collect();
    let generation = adapter.generate(second.address(), GenerateRequest { delivered, ..req });
    chunks.extend(collect_chunks(generation.await.expect("runs")).await);

    assert!(matches!(error, Error::Broken { .. }), "{error}");
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(40));
}

#[tokio::test]
async fn a_dropped_stream_is_resumed_by_name_and_position() {
    let engine = start_engine(slow_settings()).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 30);
    let generation = adapter.generate(engine.address(), req).await;
    let mut generation = generation.expect("runs");
    let mut chunks = take_chunks(&mut generation, 2).await;
    drop(generation);

    let resumed = adapter.resume(engine.address(), "s", 1, 2).await;

    chunks.extend(collect_chunks(resumed.expect("stream continues")).await);
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(30));
    let stale = adapter.resume(engine.address(), "s", 2, 2).await;
    assert_eq!(refusal_reason(stale), "stale_incarnation");
}

#[tokio::test]
async fn a_dropped_stream_is_cancelled_after_the_grace_period() {
    let settings = EngineSettings {
        grace_ms: 0,
        ..slow_settings()
    };
    let engine = start_engine(settings).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 1_000_000);
    let generation = adapter.generate(engine.address(), req).await;

    drop(generation);

    let cancelled = EngineRecord::Cancelled {
        stream: "s".to_owned(),
    };
    wait_until(|| engine.ledger().contains(&cancelled)).await;
    let resumed = adapter.resume(engine.address(), "s", 1, 0).await;
    assert_eq!(refusal_reason(resumed), "stream_gone");
}

#[tokio::test]
async fn a_refused_request_gets_the_reason_and_is_not_executed() {
    let settings = EngineSettings {
        max_queued_tokens: 100,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let adapter = HttpEngine::new();
    let generate = |req| adapter.generate(engine.address(), req);

    let mut req = request("s", "prompt", 1);
    req.incarnation = 7;
    assert_eq!(refusal_reason(generate(req).await), "stale_incarnation");
    let mut req = request("s", "prompt", 1);
    req.weights_version = 2;
    assert_eq!(refusal_reason(generate(req).await), "stale_weights");
    let req = request("s", &"x".repeat(BLOCK_BYTES), 1);
    assert_eq!(refusal_reason(generate(req).await), "overloaded");
    engine.leave();
    assert_eq!(
        refusal_reason(generate(request("s", "prompt", 1)).await),
        "leaving"
    );

    let ran = engine
        .ledger()
        .iter()
        .any(|record| matches!(record, EngineRecord::Ran { .. }));
    assert!(!ran);
}

#[tokio::test]
async fn a_crash_marker_crashes_the_engine_which_restarts_with_an_empty_cache() {
    let settings = EngineSettings {
        crash_marker: Some("crash me".to_owned()),
        ..slow_settings()
    };
    let engine = start_engine(settings).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(BLOCK_BYTES);
    let co_located = request("n", &prompt, 1_000);
    let co_located = adapter.generate(engine.address(), co_located).await;
    let mut co_located = co_located.expect("runs");

    let crashing = request("c", "please crash me", 1);
    let crashing = adapter.generate(engine.address(), crashing).await;

    assert!(matches!(crashing, Err(Error::Broken { .. })));
    while let Some(Ok(_)) = co_located.chunks.next().await {}
    wait_until(|| engine.load().is_some()).await;
    let again = adapter.generate(engine.address(), request("a", &prompt, 1));
    let started = again.await.expect("runs").started;
    assert_eq!((started.incarnation, started.cached_tokens), (2, 0));
}

#[tokio::test]
async fn an_engine_that_is_down_cannot_be_connected() {
    let engine = start_engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let warm = adapter.generate(engine.address(), request("w", "prompt", 1));
    collect_chunks(warm.await.expect("runs")).await;
    engine.kill().await;

    let first = adapter.load(engine.address()).await;
    let second = adapter.load(engine.address()).await;

    assert!(first.is_err());
    assert!(
        matches!(second, Err(Error::NotConnected { .. })),
        "{second:?}"
    );
}

#[tokio::test]
async fn a_lost_cache_event_shows_as_a_gap() {
    let settings = EngineSettings {
        lose_event_every: 2,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let adapter = HttpEngine::new();
    let req = request("s", &"x".repeat(3 * BLOCK_BYTES), 1);
    let generation = adapter.generate(engine.address(), req).await;
    collect_chunks(generation.expect("runs")).await;

    let events = |sequence| adapter.cache_events(engine.address(), 1, sequence, LONG_WAIT_MS);
    let first = events(1).await.expect("responds");
    let second = events(2).await.expect("responds");

    assert_eq!((first.first_sequence, first.events.len()), (1, 1));
    assert_eq!((second.first_sequence, second.events.len()), (3, 1));
    assert!(matches!(second.events[0], CacheEvent::Stored(_)));
}

#[tokio::test]
async fn blocks_are_imported_from_the_named_incarnation_only() {
    let exporter = start_engine(EngineSettings::default()).await;
    let importer = start_engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(2 * BLOCK_BYTES);
    let stored = adapter.generate(exporter.address(), request("h", &prompt, 1));
    collect_chunks(stored.await.expect("runs")).await;
    let from = |incarnation| {
        Some(FetchFrom {
            address: exporter.address(),
            incarnation,
        })
    };

    let mut req = request("stale", &prompt, 1);
    req.fetch_from = from(9);
    req.workspace = "school".to_owned();
    let stale = adapter.generate(importer.address(), req).await;
    let mut req = request("fresh", &prompt, 1);
    req.fetch_from = from(1);
    let fresh = adapter.generate(importer.address(), req).await;

    assert_eq!(stale.expect("runs").started.cached_tokens, 0);
    assert_eq!(fresh.expect("runs").started.cached_tokens, 4_000);
    let failed = importer
        .ledger()
        .into_iter()
        .find_map(|record| match record {
            EngineRecord::ImportFailed { reason, .. } => Some(reason),
            _ => None,
        });
    assert!(failed.is_some_and(|reason| reason.contains("stale_incarnation")));
}

#[tokio::test]
async fn a_lower_fencing_token_is_refused_only_where_it_is_checked() {
    let lenient = EngineSettings {
        checks_fencing: false,
        ..EngineSettings::default()
    };
    let strict = start_engine(EngineSettings::default()).await;
    let lenient = start_engine(lenient).await;
    let adapter = HttpEngine::new();
    let order = |fencing, weights_version| Order {
        fencing,
        model: "base".to_owned(),
        weights_version,
    };

    let mut responses = Vec::new();
    for engine in [&strict, &lenient] {
        for order in [order(5, 2), order(4, 3)] {
            let response = adapter.order(engine.address(), order).await;
            responses.push(response.expect("responds"));
        }
    }

    let stale = OrderResponse::StaleFencing(5);
    let accepted = OrderResponse::Taken;
    assert_eq!(responses, [accepted, stale, accepted, accepted]);
}

#[tokio::test]
async fn an_announced_engine_is_on_the_membership_list() {
    let platform = Platform::new();
    let engine = start_engine(EngineSettings::default()).await;
    let _announcer = engine.announce(std::sync::Arc::new(platform.clone()));

    let members = platform.members(0, LONG_WAIT_MS).await.expect("responds");

    let addresses: Vec<SocketAddr> = members.members.iter().map(|m| m.address).collect();
    assert_eq!(addresses, [engine.address()]);
}
