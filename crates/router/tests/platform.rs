//! Configuration, membership and status, while the platform is reachable and while it isn't.

mod common;

use std::time::Duration;

use config::HEAD_KEY;
use platform::RouterStatus;
use platform::ROUTER_STATUS_PREFIX;
use policy::Time;
use router::Router;
use tokio::time::timeout;

use common::caller::tokens;
use common::caller::Caller;
use common::system::a_system;
use common::system::System;

const NEVER: Time = Time::from_millis(u64::MAX / 2_000);

async fn wait_for_version(router: &Router, version: u64) {
    timeout(Duration::from_secs(20), router.wait_for_config(version))
        .await
        .expect("the configuration never took effect");
}

fn status(system: &System, router: usize) -> Option<RouterStatus> {
    let key = format!("{ROUTER_STATUS_PREFIX}vm{router}");
    let held = system.platform.held(&key)?;
    serde_json::from_slice(&held.value).ok()
}

async fn wait_for_status<F>(system: &System, router: usize, wanted: F)
where
    F: Fn(Option<RouterStatus>) -> bool,
{
    let key = format!("{ROUTER_STATUS_PREFIX}vm{router}");
    let wanted = |_| wanted(status(system, router));
    system.platform.wait_for_key(&key, wanted).await;
}

#[tokio::test]
async fn a_new_version_takes_effect_and_is_published() {
    let system = a_system().with_routers(2).start().await;

    system.apply(2);

    for router in [0, 1] {
        wait_for_version(&system.routers[router], 2).await;
        wait_for_status(&system, router, |s| s.is_some_and(|s| s.version == 2)).await;
    }
}

#[tokio::test]
async fn an_older_or_malformed_configuration_is_ignored() {
    let system = a_system().start().await;
    system.apply(5);
    wait_for_version(&system.routers[0], 5).await;

    system.apply(3);
    system.platform.put(HEAD_KEY, b"{".to_vec());
    let response = Caller::completion(system.address(0), 2).send().await;
    system.apply(6);
    wait_for_version(&system.routers[0], 6).await;

    assert_eq!(response.json()["choices"][0]["text"], tokens(0, 2));
}

#[tokio::test]
async fn requests_are_served_while_the_platform_is_down() {
    let system = a_system().start().await;
    system.platform.set_down(true);

    let response = Caller::completion(system.address(0), 4).send().await;

    assert_eq!(response.json()["choices"][0]["text"], tokens(0, 4));
    let metrics = Caller::get(system.address(0), "/metrics").send().await.body;
    assert!(metrics.contains("turmerichollow_platform_calls_total{call=\"watch\""));
}

#[tokio::test]
async fn a_restarted_router_takes_the_configuration_from_its_peers() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.wait_for_members(2).await;
    system.platform.remove_key(HEAD_KEY);

    let address = system.add_router().await;
    wait_for_version(&system.routers[2], 1).await;

    let response = Caller::completion(address, 4).send().await;
    assert_eq!(response.json()["choices"][0]["text"], tokens(0, 4));
}

#[tokio::test]
async fn a_router_that_restarts_while_the_platform_is_down_is_found_by_its_peers() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.wait_for_members(2).await;
    system.platform.set_down(true);

    system.restart_router(0).await;
    wait_for_version(&system.routers[0], 1).await;

    let response = Caller::completion(system.address(0), 4).send().await;
    assert_eq!(response.json()["choices"][0]["text"], tokens(0, 4));
}

#[tokio::test]
async fn peers_reach_a_router_restarted_on_other_ports_before_the_list_shows_it() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.wait_for_members(2).await;
    system.platform.freeze_members();
    system.platform.remove_key(HEAD_KEY);

    system.routers.remove(0).kill().await;
    system.start_router("vm0").await;

    let last = system.routers.last().unwrap();
    wait_for_version(last, 1).await;
}

#[tokio::test]
async fn a_shutdown_is_published_and_then_the_status_deleted() {
    let mut system = a_system().with_routers(2).start().await;
    wait_for_status(&system, 0, |s| s.is_some_and(|s| s.version == 1)).await;
    system.engines.hold_after(1);
    let mut stream = Caller::stream(system.address(0), 2).open().await;
    stream.take(1).await;

    let shutdown = tokio::spawn(system.routers.remove(0).shutdown(NEVER));
    wait_for_status(&system, 0, |s| s.is_some_and(|s| s.leaving)).await;
    system.engines.release();
    stream.rest().await;
    shutdown.await.unwrap();

    assert_eq!(status(&system, 0), None);
}

#[tokio::test]
async fn peers_with_another_secret_are_refused_and_counted() {
    let system = a_system().start().await;
    let introduction = peer::Introduction {
        vm: "vm9".to_owned(),
        address: system.address(0),
        region: String::new(),
        failure_domain: String::new(),
        incarnation: 1,
    };
    let links = peer::Links::new(introduction, peer::Secret::new(b"other"), ignore_events());

    links.send(
        "vm0",
        system.routers[0].peer_address(),
        policy::PeerMessage::Version(9),
    );

    let refused = "turmerichollow_peer_connections_refused_total 1";
    let metrics = || Caller::get(system.address(0), "/metrics").send();
    while !metrics().await.body.contains(refused) {
        tokio::task::yield_now().await;
    }
    assert_eq!(system.routers[0].config_version(), 1);
}

fn ignore_events() -> std::sync::Arc<dyn peer::Observer> {
    struct IgnoreEvents;

    impl peer::Observer for IgnoreEvents {
        fn on_sent(&self, _: u64) {}
        fn on_received(&self, _: u64) {}
        fn on_refused(&self) {}
        fn on_dropped(&self, _: u64) {}
        fn on_bad_message(&self) {}
    }

    std::sync::Arc::new(IgnoreEvents)
}
