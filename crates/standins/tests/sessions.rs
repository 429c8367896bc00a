//! Compares the transcripts of complete sessions with snapshots.

mod transcript;

use std::time::Duration;

use config::Limits;
use insta::assert_snapshot;
use platform::KeyValue;
use standins::time_after;
use standins::Engine;
use standins::Fleet;
use standins::FleetSettings;
use tokio::time::sleep;

use crate::transcript::idempotency_key;
use crate::transcript::Request;
use crate::transcript::ResponseReader;
use crate::transcript::Session;

/// Position of the token before which engines pause streams, so that a fault can be injected.
const PAUSE_POSITION: u32 = 3;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Prefix of the keys of call records, which claim calls.
const CLAIM_PREFIX: &str = "once/";

/// Starts a session whose streams pause at [`PAUSE_POSITION`] until they are released.
async fn start_paused_session(engines: usize, routers: usize) -> Session {
    let session = Session::start(engines, routers).await;
    for engine in &session.fleet.engines {
        engine.hold_at(PAUSE_POSITION);
    }
    session
}

/// Resumes the streams that engines paused.
fn release_streams(fleet: &Fleet) {
    fleet.engines.iter().for_each(Engine::release);
}

/// Returns the engine that ran the only stream.
fn serving_engine(fleet: &Fleet) -> &Engine {
    let mut engines = fleet.engines.iter();
    engines
        .find(|engine| !engine.ledger().is_empty())
        .expect("an engine ran the stream")
}

/// Waits until no call record is in the state `claimed`, which calls in flight have.
async fn wait_for_final_records(fleet: &Fleet) {
    loop {
        let records = fleet
            .platform
            .list(CLAIM_PREFIX)
            .await
            .expect("list succeeds");
        let mut values = records
            .iter()
            .map(|(_, stored)| String::from_utf8_lossy(&stored.value));
        if values.all(|value| !value.contains(r#""state":"claimed""#)) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn streamed_completion() {
    let mut session = Session::start(2, 1).await;

    session.exchange(0, &Request::completion()).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn chat_completion() {
    let mut session = Session::start(2, 1).await;

    session.exchange(0, &Request::chat()).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn completion_without_streaming() {
    let mut session = Session::start(2, 1).await;
    let body = Request::completion().body.replace("true", "false");

    session
        .exchange(0, &Request::completion().with_body(&body))
        .await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn engine_is_killed_mid_stream() {
    let mut session = start_paused_session(2, 1).await;
    let mut response = session.open(0, &Request::completion()).await;
    session.read(&mut response, 3).await;

    session.note("the engine is killed");
    release_streams(&session.fleet);
    serving_engine(&session.fleet).kill().await;
    session.read_all(&mut response).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn router_is_killed_mid_stream() {
    let mut session = start_paused_session(2, 2).await;
    let mut response = session.open(0, &Request::completion()).await;
    let last_id = session.read(&mut response, 3).await;

    session.note("the router is killed");
    session.fleet.take_router(0).kill().await;
    session.read_all(&mut response).await;
    release_streams(&session.fleet);
    let resumed = Request::completion().with_header("last-event-id", &last_id);
    session.exchange(1, &resumed).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn router_shuts_down_mid_stream() {
    let mut session = start_paused_session(2, 1).await;
    let mut response = session.open(0, &Request::completion()).await;
    session.read(&mut response, 3).await;
    let late = Request::completion().with_body(r#"{"model":"none","prompt":"late"}"#);

    session.note("the router shuts down; a second request arrives");
    let router = session.fleet.take_router(0);
    let address = router.address();
    let shutdown = tokio::spawn(router.shutdown(time_after(Duration::from_secs(60))));
    let mut refused = ResponseReader::send(address, &late).await;
    while refused.status() != 503 {
        sleep(POLL_INTERVAL).await;
        refused = ResponseReader::send(address, &late).await;
    }
    session.record_exchange(0, &late, &mut refused).await;
    session.note("the stream continues");
    release_streams(&session.fleet);
    session.read_all(&mut response).await;
    shutdown.await.expect("stops");

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn stream_resumed_after_its_engine_restarted() {
    let mut session = start_paused_session(1, 2).await;
    let mut response = session.open(0, &Request::completion()).await;
    let last_id = session.read(&mut response, 3).await;

    session.note("the router is killed, and the engine is killed and restarted");
    session.fleet.take_router(0).kill().await;
    session.read_all(&mut response).await;
    session.fleet.engines[0].kill().await;
    session.fleet.engines[0].restart().await;
    let resumed = Request::completion().with_header("last-event-id", &last_id);
    session.exchange(1, &resumed).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn booking_and_its_retry() {
    let mut session = Session::start(1, 2).await;
    let booking = Request::booking(&idempotency_key(0));

    session.exchange(0, &booking).await;
    session.exchange(1, &booking).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn booking_whose_service_disconnects_after_running() {
    let mut session = Session::start(1, 2).await;
    let booking = Request::booking(&idempotency_key(0));
    session.fleet.service.disconnect_after_running(1);

    session.exchange(0, &booking).await;
    wait_for_final_records(&session.fleet).await;
    session.exchange(1, &booking).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn booking_while_the_platform_is_down() {
    let mut session = Session::start(1, 2).await;
    let booking = Request::booking(&idempotency_key(0));

    session.note("an outage of the platform begins");
    session.fleet.platform.set_outage(true);
    session.exchange(0, &booking).await;
    session.note("the outage ends");
    session.fleet.platform.set_outage(false);
    session.exchange(1, &booking).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn booking_whose_claim_response_is_lost() {
    let mut session = Session::start(1, 2).await;
    let booking = Request::booking(&idempotency_key(0));

    session.note("the response to the next claim is lost");
    session.fleet.platform.lose_responses(CLAIM_PREFIX, 1);
    session.exchange(0, &booking).await;
    session.exchange(1, &booking).await;

    assert_eq!(session.fleet.platform.responses_to_lose(), 0);
    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn key_reused_for_another_body() {
    let mut session = Session::start(1, 2).await;
    let booking = Request::booking(&idempotency_key(0));
    let other = booking.clone().with_body(r#"{"blocks":3}"#);

    session.exchange(0, &booking).await;
    session.exchange(1, &other).await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn expired_key() {
    let mut session = Session::start(1, 1).await;

    session
        .exchange(0, &Request::booking(&idempotency_key(10)))
        .await;

    assert_snapshot!(session.end().await);
}

#[tokio::test]
async fn refusals_of_the_frontend() {
    let mut settings = FleetSettings::new(1, 1);
    settings.limits = Limits {
        body_bytes: 1_024,
        ..Limits::default()
    };
    let mut session = Session::start_with(settings).await;
    let completion = Request::completion();
    let booking = Request::booking(&idempotency_key(0));
    let refused = [
        completion.clone().with_body("{"),
        completion.clone().with_body(&"x".repeat(1_025)),
        completion
            .clone()
            .with_body(r#"{"model":"none","prompt":"Which felt?"}"#),
        completion
            .clone()
            .with_header("authorization", "Bearer nobody"),
        completion.clone().without_header("authorization"),
        completion.clone().with_header("x-deadline-ms", "soon"),
        completion.clone().with_header("x-priority", "nobody"),
        completion.clone().with_header("last-event-id", "forged"),
        completion.with_target("/v1/nothing"),
        booking.clone().with_target("/services/none/blocks"),
        booking.clone().with_target("/services/bookings/../blocks"),
        booking.without_header("idempotency-key"),
    ];

    for req in &refused {
        session.exchange(0, req).await;
    }

    assert_snapshot!(session.end().await);
}
