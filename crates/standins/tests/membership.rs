//! Checks that a router keeps its entry in the membership list, on virtual time.

use std::sync::Arc;
use std::time::Duration;

use backend::HttpEngine;
use backend::HttpPlainService;
use platform::MembershipList;
use router::ExternalServices;
use router::Limits;
use router::Router;
use router::Settings;
use standins::Platform;
use tokio::time::sleep;

/// Duration of the test, in seconds; the list removes a VM that was not announced for 30 s.
const OBSERVED_S: u64 = 75;

fn settings() -> Settings {
    Settings {
        vm: "vm-1".to_owned(),
        region: "west".to_owned(),
        failure_domain: "west-1".to_owned(),
        listen: ([127, 0, 0, 1], 0).into(),
        peer_listen: ([127, 0, 0, 1], 0).into(),
        key_value: ([127, 0, 0, 1], 1).into(),
        membership: ([127, 0, 0, 1], 1).into(),
        peer_secret: b"secret of the routers".to_vec(),
        event_secret: b"secret of the event ids".to_vec(),
        limits: Limits::default(),
        log: "off".to_owned(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_router_stays_on_the_membership_list() {
    let platform = Platform::new();
    let external = ExternalServices {
        key_value: Arc::new(platform.clone()),
        membership: Arc::new(platform.clone()),
        engine: Arc::new(HttpEngine::new()),
        service: Arc::new(HttpPlainService::new()),
    };
    let router = Router::start(settings(), external).await.expect("starts");
    sleep(Duration::from_secs(1)).await;

    let mut version = 0;
    for second in 0..OBSERVED_S {
        let list = platform.members(0, 0).await.expect("platform is up");
        let listed = list.members.iter().any(|member| member.name == "vm-1");
        assert!(listed, "missing from the list after {second} s");
        version = list.version;
        sleep(Duration::from_secs(1)).await;
    }

    assert_eq!(version, 1);
    router.kill().await;
}
