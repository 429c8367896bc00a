//! The engine stand-in through the HTTP adapter.

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

const LONG_WAIT_MS: u64 = 10_000;

/// Bytes of one piece.
const PIECE: usize = 8_000;

async fn engine(settings: EngineSettings) -> Engine {
    let address: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    Engine::start(address, settings).await.expect("starts")
}

fn slow() -> EngineSettings {
    EngineSettings {
        decode_ms: 20,
        ..EngineSettings::default()
    }
}

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

async fn take(generation: &mut Generation, tokens: usize) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    while chunks.len() < tokens {
        let chunk = generation.chunks.next().await.expect("goes on");
        chunks.push(chunk.expect("token"));
    }
    chunks
}

async fn rest(generation: Generation) -> Vec<Chunk> {
    let chunks: Vec<_> = generation.chunks.collect().await;
    chunks
        .into_iter()
        .map(|chunk| chunk.expect("token"))
        .collect()
}

fn text(chunks: &[Chunk]) -> String {
    chunks.iter().map(|chunk| chunk.text.as_str()).collect()
}

fn reason<T>(result: Result<T, Error>) -> String {
    match result {
        Err(Error::Refused { reason, .. }) => reason,
        Err(e) => panic!("failed otherwise: {e}"),
        Ok(_) => panic!("not refused"),
    }
}

async fn until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    while !condition() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_stream_comes_whole_and_in_order() {
    let engine = engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();

    let req = request("s", "prompt", 20);
    let generation = adapter.generate(engine.address(), req).await;

    let chunks = rest(generation.expect("runs")).await;
    let positions: Vec<u32> = chunks.iter().map(|chunk| chunk.position).collect();
    assert_eq!(positions, (0..20).collect::<Vec<u32>>());
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(20));
    assert!(chunks[19].last);
}

#[tokio::test]
async fn a_prefix_is_reused_in_its_own_workspace_only() {
    let engine = engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(2 * PIECE + 4);
    let first = adapter.generate(engine.address(), request("a", &prompt, 1));
    rest(first.await.expect("runs")).await;

    let own = adapter.generate(engine.address(), request("b", &prompt, 1));
    let own = own.await.expect("runs").started;
    let mut foreign = request("c", &prompt, 1);
    foreign.workspace = "school".to_owned();
    let foreign = adapter.generate(engine.address(), foreign).await;
    let foreign = foreign.expect("runs").started;

    assert_eq!((own.prompt_tokens, own.cached_tokens), (4_001, 4_000));
    assert_eq!(foreign.cached_tokens, 0);
}

#[tokio::test]
async fn a_stream_goes_on_at_another_engine_after_a_kill() {
    let first = engine(slow()).await;
    let second = engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 40);
    let generation = adapter.generate(first.address(), req.clone()).await;
    let mut generation = generation.expect("runs");
    let mut chunks = take(&mut generation, 3).await;

    first.kill().await;
    let error = loop {
        match generation.chunks.next().await.expect("ends with an error") {
            Ok(chunk) => chunks.push(chunk),
            Err(e) => break e,
        }
    };
    let delivered = chunks.iter().map(|chunk| chunk.text.clone()).collect();
    let generation = adapter.generate(second.address(), GenerateRequest { delivered, ..req });
    chunks.extend(rest(generation.await.expect("runs")).await);

    assert!(matches!(error, Error::Broken { .. }), "{error}");
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(40));
}

#[tokio::test]
async fn a_dropped_stream_is_resumed_by_name_and_position() {
    let engine = engine(slow()).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 30);
    let generation = adapter.generate(engine.address(), req).await;
    let mut generation = generation.expect("runs");
    let mut chunks = take(&mut generation, 2).await;
    drop(generation);

    let resumed = adapter.resume(engine.address(), "s", 1, 2).await;

    chunks.extend(rest(resumed.expect("goes on")).await);
    assert_eq!(text(&chunks), PromptHash::new("prompt").text(30));
    let stale = adapter.resume(engine.address(), "s", 2, 2).await;
    assert_eq!(reason(stale), "stale_incarnation");
}

#[tokio::test]
async fn a_dropped_stream_is_cancelled_after_its_grace() {
    let settings = EngineSettings {
        grace_ms: 0,
        ..slow()
    };
    let engine = engine(settings).await;
    let adapter = HttpEngine::new();
    let req = request("s", "prompt", 1_000_000);
    let generation = adapter.generate(engine.address(), req).await;

    drop(generation);

    let cancelled = EngineRecord::Cancelled {
        stream: "s".to_owned(),
    };
    until(|| engine.ledger().contains(&cancelled)).await;
    let resumed = adapter.resume(engine.address(), "s", 1, 0).await;
    assert_eq!(reason(resumed), "stream_gone");
}

#[tokio::test]
async fn a_refusal_names_its_reason_and_nothing_runs() {
    let settings = EngineSettings {
        max_queued_tokens: 100,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let adapter = HttpEngine::new();
    let generate = |req| adapter.generate(engine.address(), req);

    let mut req = request("s", "prompt", 1);
    req.incarnation = 7;
    assert_eq!(reason(generate(req).await), "stale_incarnation");
    let mut req = request("s", "prompt", 1);
    req.weights_version = 2;
    assert_eq!(reason(generate(req).await), "stale_weights");
    let req = request("s", &"x".repeat(PIECE), 1);
    assert_eq!(reason(generate(req).await), "overloaded");
    engine.leave();
    assert_eq!(reason(generate(request("s", "prompt", 1)).await), "leaving");

    let ran = engine
        .ledger()
        .iter()
        .any(|record| matches!(record, EngineRecord::Ran { .. }));
    assert!(!ran);
}

#[tokio::test]
async fn a_marked_prompt_crashes_the_engine_which_comes_back_empty() {
    let settings = EngineSettings {
        crash_marker: Some("crash me".to_owned()),
        ..slow()
    };
    let engine = engine(settings).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(PIECE);
    let neighbour = request("n", &prompt, 1_000);
    let neighbour = adapter.generate(engine.address(), neighbour).await;
    let mut neighbour = neighbour.expect("runs");

    let crashing = request("c", "please crash me", 1);
    let crashing = adapter.generate(engine.address(), crashing).await;

    assert!(matches!(crashing, Err(Error::Broken { .. })));
    while let Some(Ok(_)) = neighbour.chunks.next().await {}
    until(|| engine.load().is_some()).await;
    let again = adapter.generate(engine.address(), request("a", &prompt, 1));
    let started = again.await.expect("runs").started;
    assert_eq!((started.incarnation, started.cached_tokens), (2, 0));
}

#[tokio::test]
async fn an_engine_that_is_down_is_not_connected() {
    let engine = engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let warm = adapter.generate(engine.address(), request("w", "prompt", 1));
    rest(warm.await.expect("runs")).await;
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
    let engine = engine(settings).await;
    let adapter = HttpEngine::new();
    let req = request("s", &"x".repeat(3 * PIECE), 1);
    let generation = adapter.generate(engine.address(), req).await;
    rest(generation.expect("runs")).await;

    let events = |sequence| adapter.cache_events(engine.address(), 1, sequence, LONG_WAIT_MS);
    let first = events(1).await.expect("answers");
    let second = events(2).await.expect("answers");

    assert_eq!((first.first_sequence, first.events.len()), (1, 1));
    assert_eq!((second.first_sequence, second.events.len()), (3, 1));
    assert!(matches!(second.events[0], CacheEvent::Stored(_)));
}

#[tokio::test]
async fn pieces_are_imported_from_the_named_incarnation_only() {
    let holder = engine(EngineSettings::default()).await;
    let importer = engine(EngineSettings::default()).await;
    let adapter = HttpEngine::new();
    let prompt = "x".repeat(2 * PIECE);
    let held = adapter.generate(holder.address(), request("h", &prompt, 1));
    rest(held.await.expect("runs")).await;
    let from = |incarnation| {
        Some(FetchFrom {
            address: holder.address(),
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
async fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    let careless = EngineSettings {
        checks_fencing: false,
        ..EngineSettings::default()
    };
    let checking = engine(EngineSettings::default()).await;
    let careless = engine(careless).await;
    let adapter = HttpEngine::new();
    let order = |fencing, weights_version| Order {
        fencing,
        model: "base".to_owned(),
        weights_version,
    };

    let mut answers = Vec::new();
    for engine in [&checking, &careless] {
        for order in [order(5, 2), order(4, 3)] {
            let answer = adapter.order(engine.address(), order).await;
            answers.push(answer.expect("answers"));
        }
    }

    let stale = OrderResponse::StaleFencing(5);
    let taken = OrderResponse::Taken;
    assert_eq!(answers, [taken, stale, taken, taken]);
}

#[tokio::test]
async fn an_engine_keeps_itself_on_the_membership_list() {
    let platform = Platform::new();
    let engine = engine(EngineSettings::default()).await;
    let _announcer = engine.announce(std::sync::Arc::new(platform.clone()));

    let members = platform.members(0, LONG_WAIT_MS).await.expect("answers");

    let addresses: Vec<SocketAddr> = members.members.iter().map(|m| m.address).collect();
    assert_eq!(addresses, [engine.address()]);
}
