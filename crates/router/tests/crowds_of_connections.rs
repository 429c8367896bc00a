//! Crowds of callers that hold connections, before one router as a process of its own.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "crowds/crowd_caller.rs"]
mod crowd_caller;
#[path = "crowds/crowd_server.rs"]
mod crowd_server;
#[path = "processes/process_usage.rs"]
mod process_usage;
#[path = "processes/router_process.rs"]
mod router_process;
#[path = "crowds/trial.rs"]
mod trial;

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

use common::caller::Caller;
use crowd_caller::connect;
use trial::alone;
use trial::Trial;
use trial::ANSWER_TIME;
use trial::DESCRIPTORS;
use trial::MEMORY_MB;
use trial::WATCHED;

/// Checks a router with few descriptors before callers that open connections to one of its ports, send
/// `bytes`, and come again when they are closed.
fn check_connections(port: &'static str, count: usize, bytes: &'static str) {
    alone(async {
        let extra = json!({ "memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS });
        let mut trial = Trial::start_with(extra).await;
        let address = trial.address(port);
        trial.add_callers(count, |_| async move {
            loop {
                if let Ok(mut stream) = connect(address).await {
                    let _ = stream.write_all(bytes.as_bytes()).await;
                    let mut buf = [0; 1_024];
                    // Ends when the router closes the connection.
                    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
        let readiness = trial.address("readiness");
        sleep(WATCHED / 2).await;
        let ready = timeout(ANSWER_TIME, Caller::new(readiness).get("/ready")).await;
        trial.check(DESCRIPTORS).await;
        assert_eq!(ready.map_or(0, |page| page.status), 200, "readiness page");
    });
}

// Guards against connections that take all descriptors, so that none is left for servers and pages.
#[test]
fn callers_who_hold_half_a_head_and_come_again_leave_descriptors_to_others() {
    check_connections("callers", 600, "POST /plain/x HTTP/1.1\r\nHost:");
}

#[test]
fn callers_who_hold_silent_connections_leave_descriptors_to_others() {
    check_connections("callers", 600, "");
}

#[test]
fn callers_who_hold_connections_to_the_readiness_page_leave_descriptors_to_others() {
    check_connections("readiness", 600, "GET /ready HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_metrics_page_leave_descriptors_to_others() {
    check_connections("metrics_port", 600, "GET /metrics HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_bootstrap_page_leave_descriptors_to_others() {
    check_connections("bootstrap", 600, "GET /snapshot HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_port_of_routers_leave_descriptors_to_others() {
    check_connections("peer_port", 600, "GET /tunnel/0 HTTP/1.1\r\n");
}
