//! Streams during failures of engines, routers and callers, and during shutdown.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use policy::Time;

use common::caller::text;
use common::caller::tokens;
use common::caller::Caller;
use common::system::a_system;

/// A deadline that no test reaches.
const NEVER: Time = Time::from_millis(u64::MAX / 2_000);

#[tokio::test]
async fn a_request_is_retried_when_its_engine_dies_before_the_first_token() {
    let system = a_system().with_engines(2).start().await;
    system.engines.next_dies_after(0);

    let response = Caller::completion(system.address(0), 4).send().await;

    assert_eq!(response.json()["choices"][0]["text"], tokens(0, 4));
    let metrics = Caller::get(system.address(0), "/metrics").send().await.body;
    assert!(metrics.contains("turmerichollow_retries_total{reason=\"broken\"} 1"));
}

#[tokio::test]
async fn a_stream_continues_on_another_engine_after_the_delivered_tokens() {
    let system = a_system().with_engines(2).start().await;
    system.engines.next_dies_after(7);

    let mut stream = Caller::stream(system.address(0), 20).open().await;
    let events = stream.rest().await;

    assert_eq!(text(&events), (tokens(0, 20), true));
    let requests = system.engines.requests();
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[1].delivered.concat(), tokens(0, 7));
    assert_ne!(requests[0].stream, requests[1].stream);
}

#[tokio::test]
async fn a_stream_that_no_engine_can_continue_ends_with_an_error_event() {
    let system = a_system().start().await;
    system.engines.hold_after(3);
    let mut stream = Caller::stream(system.address(0), 20).open().await;
    let first = stream.take(3).await;

    system.engines.kill_all();
    let rest = stream.rest().await;

    assert_eq!(text(&first).0, tokens(0, 3));
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].name, "error");
    assert!(rest[0].data.contains("\"outcome\":\"unknown\""));
}

#[tokio::test]
async fn a_stream_is_resumed_at_another_router_after_its_router_was_killed() {
    let mut system = a_system().with_routers(2).start().await;
    system.engines.hold_after(5);
    let mut stream = Caller::stream(system.address(0), 12).open().await;
    let before = stream.take(5).await;

    system.routers.remove(0).kill().await;
    let after_kill = stream.rest().await;
    system.engines.release();
    let after = Caller::stream(system.address(0), 12)
        .header("last-event-id", &before[4].id)
        .open()
        .await
        .rest()
        .await;

    assert!(after_kill.is_empty());
    assert_eq!(text(&before).0, tokens(0, 5));
    assert_eq!(text(&after), (tokens(5, 12), true));
}

#[tokio::test]
async fn resuming_a_finished_stream_returns_only_done() {
    let system = a_system().start().await;
    let mut stream = Caller::stream(system.address(0), 3).open().await;
    let events = stream.rest().await;

    let rest = Caller::stream(system.address(0), 3)
        .header("last-event-id", &events[2].id)
        .open()
        .await
        .rest()
        .await;

    assert_eq!(text(&rest), (String::new(), true));
}

#[tokio::test]
async fn a_stream_whose_engine_is_gone_is_refused_as_gone() {
    let system = a_system().start().await;
    let mut stream = Caller::stream(system.address(0), 9).open().await;
    let id = stream.next().await.unwrap().id;
    system.engines.kill_all();

    let response = Caller::stream(system.address(0), 9)
        .header("last-event-id", &id)
        .send()
        .await;

    let (status, reason, _) = response.refusal();
    assert_eq!((status, reason.as_str()), (410, "stream_gone"));
}

#[tokio::test]
async fn a_caller_that_disconnects_before_the_response_cancels_the_generation() {
    let system = a_system().start().await;
    system.engines.hold_after(0);
    let caller = tokio::spawn(Caller::completion(system.address(0), 9).send());
    system.engines.wait_for_open(1).await;

    caller.abort();

    system.engines.wait_for_cancelled(1).await;
    system.engines.wait_for_open(0).await;
}

#[tokio::test]
async fn a_caller_that_disconnects_mid_stream_can_resume_the_stream() {
    let system = a_system().start().await;
    system.engines.hold_after(2);
    let mut stream = Caller::stream(system.address(0), 6).open().await;
    let events = stream.take(2).await;

    stream.disconnect();
    system.engines.wait_for_open(0).await;
    system.engines.release();
    let rest = Caller::stream(system.address(0), 6)
        .header("last-event-id", &events[1].id)
        .open()
        .await
        .rest()
        .await;

    assert_eq!(text(&rest), (tokens(2, 6), true));
}

/// Sends completions until one is refused, and returns that refusal. A router that shuts down
/// still serves during its notice period.
async fn first_refusal(address: SocketAddr) -> (u16, String, String) {
    loop {
        let response = Caller::completion(address, 1).send().await;
        if response.status != 200 {
            return response.refusal();
        }
    }
}

#[tokio::test]
async fn a_graceful_shutdown_lets_streams_finish() {
    let mut system = a_system().start().await;
    system.engines.hold_after(4);
    let mut stream = Caller::stream(system.address(0), 10).open().await;
    let mut events = stream.take(4).await;
    let address = system.address(0);

    let shutdown = tokio::spawn(system.routers.remove(0).shutdown(NEVER));
    while Caller::get(address, "/readyz").send().await.status == 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = first_refusal(address).await;
    system.engines.release();
    events.extend(stream.rest().await);
    shutdown.await.unwrap();

    assert_eq!(refused.1, "shutting_down");
    assert_eq!(text(&events), (tokens(0, 10), true));
}

#[tokio::test]
async fn a_shutdown_past_its_deadline_ends_streams_with_an_error_event() {
    let mut system = a_system().start().await;
    system.engines.hold_after(4);
    let mut stream = Caller::stream(system.address(0), 10).open().await;
    let events = stream.take(4).await;

    let soon = now().plus_millis(800);
    system.routers.remove(0).shutdown(soon).await;
    let rest = stream.rest().await;

    assert_eq!(text(&events), (tokens(0, 4), false));
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].name, "error");
    assert!(rest[0].data.contains("shutting_down"));
}

fn now() -> Time {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    Time(u64::try_from(since_epoch.as_micros()).unwrap())
}
