//! Configuration, membership and status, with the platform up and down.

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

async fn comes_in_force(router: &Router, version: u64) {
    timeout(Duration::from_secs(20), router.wait_for_config(version))
        .await
        .expect("the configuration never came in force");
}

fn status(system: &System, router: usize) -> Option<RouterStatus> {
    let key = format!("{ROUTER_STATUS_PREFIX}vm{router}");
    let held = system.platform.held(&key)?;
    serde_json::from_slice(&held.value).ok()
}

async fn status_says<F>(system: &System, router: usize, wanted: F)
where
    F: Fn(Option<RouterStatus>) -> bool,
{
    let key = format!("{ROUTER_STATUS_PREFIX}vm{router}");
    let wanted = |_| wanted(status(system, router));
    system.platform.holds(&key, wanted).await;
}

#[tokio::test]
async fn a_new_version_comes_in_force_and_is_published() {
    let system = a_system().with_routers(2).start().await;

    system.apply(2);

    for router in [0, 1] {
        comes_in_force(&system.routers[router], 2).await;
        status_says(&system, router, |s| s.is_some_and(|s| s.version == 2)).await;
    }
}

#[tokio::test]
async fn an_older_version_or_a_broken_one_changes_nothing() {
    let system = a_system().start().await;
    system.apply(5);
    comes_in_force(&system.routers[0], 5).await;

    system.apply(3);
    system.platform.put(HEAD_KEY, b"{".to_vec());
    let answer = Caller::completion(system.address(0), 2).send().await;
    system.apply(6);
    comes_in_force(&system.routers[0], 6).await;

    assert_eq!(answer.json()["choices"][0]["text"], tokens(0, 2));
}

#[tokio::test]
async fn requests_are_served_while_the_platform_is_down() {
    let system = a_system().start().await;
    system.platform.set_down(true);

    let answer = Caller::completion(system.address(0), 4).send().await;

    assert_eq!(answer.json()["choices"][0]["text"], tokens(0, 4));
    let metrics = Caller::get(system.address(0), "/metrics").send().await.body;
    assert!(metrics.contains("turmerichollow_platform_calls_total{call=\"watch\""));
}

#[tokio::test]
async fn a_restarted_router_takes_the_configuration_from_its_peers() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.has_members(2).await;
    system.platform.forget(HEAD_KEY);

    let address = system.add_router().await;
    comes_in_force(&system.routers[2], 1).await;

    let answer = Caller::completion(address, 4).send().await;
    assert_eq!(answer.json()["choices"][0]["text"], tokens(0, 4));
}

#[tokio::test]
async fn a_router_that_restarts_while_the_platform_is_down_is_found_by_its_peers() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.has_members(2).await;
    system.platform.set_down(true);

    system.restart_router(0).await;
    comes_in_force(&system.routers[0], 1).await;

    let answer = Caller::completion(system.address(0), 4).send().await;
    assert_eq!(answer.json()["choices"][0]["text"], tokens(0, 4));
}

#[tokio::test]
async fn a_router_that_comes_back_at_other_ports_is_reached_before_the_list_says_so() {
    let mut system = a_system().with_routers(2).start().await;
    system.platform.has_members(2).await;
    system.platform.let_members_lag();
    system.platform.forget(HEAD_KEY);

    system.routers.remove(0).kill().await;
    system.start_router("vm0").await;

    let last = system.routers.last().unwrap();
    comes_in_force(last, 1).await;
}

#[tokio::test]
async fn a_shutdown_is_published_and_the_status_taken_back() {
    let mut system = a_system().with_routers(2).start().await;
    status_says(&system, 0, |s| s.is_some_and(|s| s.version == 1)).await;
    system.engines.hold_after(1);
    let mut stream = Caller::stream(system.address(0), 2).open().await;
    stream.take(1).await;

    let shutdown = tokio::spawn(system.routers.remove(0).shutdown(NEVER));
    status_says(&system, 0, |s| s.is_some_and(|s| s.leaving)).await;
    system.engines.release();
    stream.rest().await;
    shutdown.await.unwrap();

    assert_eq!(status(&system, 0), None);
}

#[tokio::test]
async fn strangers_at_the_peers_port_are_refused_and_counted() {
    let system = a_system().start().await;
    let introduction = peer::Introduction {
        vm: "vm9".to_owned(),
        address: system.address(0),
        region: String::new(),
        failure_domain: String::new(),
        incarnation: 1,
    };
    let stranger = peer::Links::new(introduction, peer::Secret::new(b"other"), nobody());

    stranger.send(
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

fn nobody() -> std::sync::Arc<dyn peer::Observer> {
    struct Nobody;

    impl peer::Observer for Nobody {
        fn on_sent(&self, _: u64) {}
        fn on_received(&self, _: u64) {}
        fn on_refused(&self) {}
        fn on_dropped(&self, _: u64) {}
        fn on_bad_message(&self) {}
    }

    std::sync::Arc::new(Nobody)
}
