//! Calls to plain services, idempotent and not.

mod common;

use std::time::Duration;

use http::Method;
use tokio::time::sleep;
use tokio::time::timeout;
use uuid::Uuid;

use common::caller::Caller;
use common::caller::Response;
use common::system::a_system;
use common::system::System;

/// Returns an idempotency key (UUID version 7) with the current time.
fn a_key() -> String {
    let now_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let version_and_variant = (0x7 << 76) | (0b10 << 62);
    Uuid::from_u128(now_ms << 80 | version_and_variant | 0x42).to_string()
}

fn a_booking(system: &System, router: usize, key: &str) -> Caller {
    Caller::new(system.address(router), "/services/booking/book?day=1")
        .header("idempotency-key", key)
        .header("content-type", "text/plain")
        .body("one block")
}

/// Retries a booking until it is no longer in progress, and returns that response.
async fn retry_until_settled(system: &System, key: &str) -> Response {
    let settled = async {
        loop {
            let response = a_booking(system, 0, key).send().await;
            if response.status != 409 {
                return response;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), settled)
        .await
        .expect("the booking was never recorded")
}

#[tokio::test]
async fn an_idempotent_call_is_forwarded_with_path_and_query() {
    let system = a_system().start().await;

    let response = Caller::get(system.address(0), "/services/booking/stock/felt?n=2")
        .send()
        .await;

    assert_eq!(response.status, 201);
    assert_eq!(response.headers["content-type"], "text/plain");
    assert_eq!(response.body, "answer 1");
    let call = &system.service.calls()[0];
    assert_eq!(call.method, Method::GET.as_str());
    assert_eq!(call.path, "/stock/felt?n=2");
}

#[tokio::test]
async fn a_booking_without_a_key_is_refused() {
    let system = a_system().start().await;

    let response = Caller::new(system.address(0), "/services/booking/book")
        .send()
        .await;

    assert_eq!(response.refusal().1, "key_missing");
    assert!(system.service.calls().is_empty());
}

#[tokio::test]
async fn a_retried_booking_gets_the_first_response_from_any_router() {
    let system = a_system().with_routers(2).start().await;
    let key = a_key();

    let first = a_booking(&system, 0, &key).send().await;
    let second = a_booking(&system, 1, &key).send().await;

    assert_eq!(first.body, "answer 1");
    assert_eq!(second.body, first.body);
    assert_eq!(second.status, first.status);
    assert_eq!(second.headers["idempotent-replayed"], "true");
    assert_eq!(system.service.calls().len(), 1);
}

#[tokio::test]
async fn a_booking_whose_service_broke_has_an_unknown_outcome_and_never_runs_again() {
    let system = a_system().start().await;
    let key = a_key();
    system.service.break_next();

    let first = a_booking(&system, 0, &key).send().await;
    let second = a_booking(&system, 0, &key).send().await;

    assert_eq!(first.refusal().2, "unknown");
    assert_eq!(second.refusal().2, "unknown");
    assert_eq!(system.service.calls().len(), 1);
}

#[tokio::test]
async fn a_booking_is_recorded_after_its_caller_disconnects() {
    let system = a_system().start().await;
    let key = a_key();
    system.service.set_held(true);
    let caller = tokio::spawn(a_booking(&system, 0, &key).send());
    while system.service.calls().is_empty() {
        tokio::task::yield_now().await;
    }

    caller.abort();
    let _ = caller.await;
    system.service.set_held(false);
    let retry = retry_until_settled(&system, &key).await;

    assert_eq!(retry.body, "answer 1");
    assert_eq!(system.service.calls().len(), 1);
}

#[tokio::test]
async fn a_booking_past_its_deadline_has_an_unknown_outcome_and_is_recorded() {
    let system = a_system().start().await;
    let key = a_key();
    system.service.set_held(true);

    let first = a_booking(&system, 0, &key)
        .header("x-deadline-ms", "100")
        .send()
        .await;
    system.service.set_held(false);
    let retry = retry_until_settled(&system, &key).await;

    let (status, reason, outcome) = first.refusal();
    assert_eq!((status, reason.as_str()), (504, "deadline_passed"));
    assert_eq!(outcome, "unknown");
    assert_eq!(retry.body, "answer 1");
    assert_eq!(system.service.calls().len(), 1);
}

#[tokio::test]
async fn a_booking_with_the_platform_down_is_refused() {
    let system = a_system().start().await;
    system.platform.set_down(true);

    let response = a_booking(&system, 0, &a_key()).send().await;

    assert_eq!(response.refusal().1, "platform_unavailable");
    assert!(system.service.calls().is_empty());
}
