//! Calls the platform stand-in through the HTTP adapters.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bytes::Bytes;
use platform::Error;
use platform::HttpKeyValue;
use platform::HttpMembershipList;
use platform::KeyValue;
use platform::Member;
use platform::MembershipList;
use platform::Role;
use platform::SwapOutcome;
use platform::Versioned;
use standins::CallKind;
use standins::Platform;
use standins::PlatformServer;

/// Maximum wait of long polls, in milliseconds; long enough that no test reaches it.
const LONG_WAIT_MS: u64 = 10_000;

/// A platform with its HTTP server and clients.
struct Fixture {
    platform: Platform,
    server: PlatformServer,
    store: HttpKeyValue,
    list: HttpMembershipList,
}

async fn fixture() -> Fixture {
    let platform = Platform::new();
    let server = PlatformServer::start(loopback(), platform.clone())
        .await
        .expect("starts");
    let store = HttpKeyValue::new(server.address());
    let list = HttpMembershipList::new(server.address());
    Fixture {
        platform,
        server,
        store,
        list,
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn member(name: &str) -> Member {
    Member {
        name: name.to_owned(),
        role: Role::BackendServer,
        address: loopback(),
        region: "west".to_owned(),
        failure_domain: "west-1".to_owned(),
        incarnation: 1,
        leaving: false,
    }
}

/// Writes a new key and returns its version; panics if the key exists.
async fn create(store: &HttpKeyValue, key: &str, value: &[u8]) -> u64 {
    let value = Bytes::copy_from_slice(value);
    match store.compare_and_swap(key, 0, value, None).await {
        Ok(SwapOutcome::Written(version)) => version,
        other => panic!("not written: {other:?}"),
    }
}

#[tokio::test]
async fn a_conflicting_write_returns_the_current_value() {
    let f = fixture().await;
    let version = create(&f.store, "a", b"first").await;

    let swap = f
        .store
        .compare_and_swap("a", 0, Bytes::from("second"), None)
        .await;

    let stored = Versioned {
        version,
        value: Bytes::from("first"),
    };
    assert_eq!(swap, Ok(SwapOutcome::Conflict(Some(stored))));
}

#[tokio::test]
async fn a_binary_value_of_one_megabyte_is_read_back_unchanged() {
    let f = fixture().await;
    let value: Vec<u8> = (0..1 << 20).map(|i: u32| i.to_le_bytes()[0]).collect();

    create(&f.store, "large", &value).await;

    let stored = f
        .store
        .get("large")
        .await
        .expect("responds")
        .expect("key exists");
    assert_eq!(stored.value.as_ref(), value.as_slice());
}

#[tokio::test]
async fn a_prefix_is_listed_in_order() {
    let f = fixture().await;
    for key in ["b/2", "b/1", "c/1", "a/1"] {
        create(&f.store, key, b"x").await;
    }

    let listed = f.store.list("b/").await.expect("responds");

    let keys: Vec<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

#[tokio::test]
async fn a_watch_reports_the_deletion_of_a_key_whose_lease_expired() {
    let f = fixture().await;
    let lease = f.store.grant(50).await.expect("granted");
    let swap = f
        .store
        .compare_and_swap("leased", 0, Bytes::from("x"), Some(lease))
        .await;
    let Ok(SwapOutcome::Written(version)) = swap else {
        panic!("not written: {swap:?}");
    };

    let change = f.store.watch("leased", version, LONG_WAIT_MS).await;

    assert_eq!(change.expect("responds").value, None);
    assert_eq!(f.store.renew(lease).await, Ok(false));
}

#[tokio::test]
async fn a_watch_reports_a_write_and_a_deletion() {
    let f = fixture().await;
    let (written, seen) = tokio::join!(
        create(&f.store, "a", b"x"),
        f.store.watch("a", 0, LONG_WAIT_MS)
    );
    assert_eq!(
        seen.expect("responds").value.map(|stored| stored.version),
        Some(written)
    );

    let (deleted, seen) = tokio::join!(
        f.store.delete("a", written),
        f.store.watch("a", written, LONG_WAIT_MS)
    );

    assert_eq!(deleted, Ok(SwapOutcome::Written(0)));
    assert_eq!(seen.expect("responds").value, None);
}

#[tokio::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let f = fixture().await;
    f.platform.lose_responses("a", 1);

    let swap = f
        .store
        .compare_and_swap("a", 0, Bytes::from("x"), None)
        .await;

    assert!(matches!(swap, Err(Error::ResponseLost { .. })), "{swap:?}");
    let stored = f
        .store
        .get("a")
        .await
        .expect("responds")
        .expect("key exists");
    assert_eq!(stored.value, Bytes::from("x"));
}

#[tokio::test]
async fn a_write_refused_during_an_outage_has_no_effect() {
    let f = fixture().await;
    f.platform.set_outage(true);

    let swap = f
        .store
        .compare_and_swap("a", 0, Bytes::from("x"), None)
        .await;

    let refused = Error::Refused {
        step: "compare_and_swap",
        peer: f.server.address().to_string(),
        status: 503,
    };
    assert_eq!(swap, Err(refused));
    f.platform.set_outage(false);
    assert_eq!(f.store.get("a").await, Ok(None));
}

#[tokio::test]
async fn a_stopped_platform_is_unreachable() {
    let f = fixture().await;
    f.server.stop().await;

    let swap = f
        .store
        .compare_and_swap("a", 0, Bytes::from("x"), None)
        .await;

    assert!(matches!(swap, Err(Error::Unreachable { .. })), "{swap:?}");
}

#[tokio::test]
async fn members_are_listed_after_the_lag() {
    let f = fixture().await;
    f.platform.set_membership_lag_ms(30);
    f.list
        .announce(member("engine-1"))
        .await
        .expect("announced");

    let members = f.list.members(0, LONG_WAIT_MS).await.expect("responds");

    assert_eq!(members.members, [member("engine-1")]);
}

#[tokio::test]
async fn calls_are_counted_by_kind() {
    let f = fixture().await;
    create(&f.store, "a", b"x").await;
    f.store.get("a").await.expect("responds");
    f.store.get("b").await.expect("responds");

    let counts = [CallKind::CompareAndSwap, CallKind::Get, CallKind::Watch]
        .map(|kind| f.platform.calls(kind));

    assert_eq!(counts, [1, 2, 0]);
}
