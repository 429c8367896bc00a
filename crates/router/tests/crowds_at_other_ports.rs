//! Crowds of callers that make a router hold bytes at the ports that aren't for callers, before one router
//! as a process of its own.

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

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crowd_caller::connect;
use crowd_caller::head;
use crowd_caller::hold;
use crowd_caller::send_and_hold;
use crowd_caller::Reading;
use trial::alone;
use trial::Trial;
use trial::DESCRIPTORS;
use trial::MEMORY_MB;

/// Bytes of a head that is never finished.
const HEAD_BYTES: usize = 300_000;

/// Backend servers of another service, which make the pages for routers large.
const OTHER_SERVERS: usize = 1_500;

/// Time in which a router reads their registrations, and knows another router.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Ports with pages, and a large page of each.
const PAGES: [(&str, &str); 3] = [
    ("peer_port", "/servers"),
    ("metrics_port", "/servers"),
    ("bootstrap", "/snapshot"),
];

/// Checks a router before callers that send heads without an end to one of its ports.
fn check_heads(port: &'static str) {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.address(port);
        trial.add_callers(700, |_| async move {
            let filler = "x".repeat(HEAD_BYTES);
            send_and_hold(
                address,
                &format!("GET /snapshot HTTP/1.1\r\nX-Filler: {filler}"),
            )
            .await
        });
        trial.check(usize::MAX).await;
    });
}

/// Checks a router before callers that ask one of its ports for a page and read nothing.
fn check_pages(port: &'static str, path: &'static str) {
    alone(async {
        let mut trial = Trial::start().await;
        trial.register_others(OTHER_SERVERS);
        sleep(SETTLED).await;
        let address = trial.address(port);
        trial.add_callers(700, |_| async move {
            let request = format!("GET {path} HTTP/1.1\r\nHost: router\r\n\r\n");
            send_and_hold(address, &request).await
        });
        trial.check(usize::MAX).await;
    });
}

// Guards against heads at the other ports, which no limit counts.
#[test]
fn callers_who_never_finish_their_heads_at_the_port_of_routers_leave_memory_to_others() {
    check_heads("peer_port");
}

#[test]
fn callers_who_never_finish_their_heads_at_the_readiness_page_leave_memory_to_others() {
    check_heads("readiness");
}

#[test]
fn callers_who_never_finish_their_heads_at_the_metrics_page_leave_memory_to_others() {
    check_heads("metrics_port");
}

#[test]
fn callers_who_never_finish_their_heads_at_the_bootstrap_page_leave_memory_to_others() {
    check_heads("bootstrap");
}

// Guards against pages that aren't read, which the http library holds uncounted.
#[test]
fn callers_who_read_nothing_of_the_pages_for_routers_leave_memory_to_others() {
    check_pages("peer_port", "/servers");
}

#[test]
fn callers_who_read_nothing_of_the_metrics_page_leave_memory_to_others() {
    check_pages("metrics_port", "/servers");
}

#[test]
fn callers_who_read_nothing_of_the_bootstrap_page_leave_memory_to_others() {
    check_pages("bootstrap", "/snapshot");
}

/// Opens a connection to the server through the router, asks the server for a body over it and reads
/// nothing.
async fn hold_tunnel(address: SocketAddr, id: String) {
    let Ok(mut stream) = connect(address).await else {
        return;
    };
    let upgrade = crowd_server::tunnel_head();
    let request = head("/plain/body-1048576", &id, 0);
    if stream.write_all(upgrade.as_bytes()).await.is_err() {
        return;
    }
    let mut buf = [0; 512];
    let Ok(1..) = stream.read(&mut buf).await else {
        return;
    };
    // Fails if the router has closed the connection.
    let _ = stream.write_all(request.as_bytes()).await;
    hold(stream).await
}

// Guards against slow responses that pass through this router to another one.
#[test]
fn routers_who_read_nothing_of_their_tunnels_leave_memory_to_others() {
    alone(async {
        let mut trial = Trial::start().await;
        let _other = trial.start_another_router();
        sleep(SETTLED).await;
        let address = trial.address("peer_port");
        trial.add_callers(700, |i| hold_tunnel(address, format!("crowd-{i}")));
        sleep(SETTLED).await;
        let log = trial.router.log();
        let accepted = log.lines().filter(|line| {
            line.contains("event=tunnel_accepted") && line.contains("outcome=connected")
        });
        println!("{} tunnels", accepted.count());
        trial.check(usize::MAX).await;
    });
}

/// Checks a router before crowds of all kinds at all ports.
fn check_all_ports(extra: Value, descriptors: usize) {
    alone(async move {
        let mut trial = Trial::start_with(extra).await;
        trial.register_others(OTHER_SERVERS);
        let _other = trial.start_another_router();
        sleep(SETTLED).await;
        let (callers, routers) = (trial.router.address, trial.address("peer_port"));
        trial.add_readers(120, "/plain/body-1048576", Reading::Nothing);
        trial.add_readers(100, "/fixed/events-40-60000", Reading::Nothing);
        trial.add_callers(700, |_| async move {
            let filler = "x".repeat(15_000);
            let bytes = format!("POST /plain/x HTTP/1.1\r\nX-Filler: {filler}");
            send_and_hold(callers, &bytes).await
        });
        trial.add_callers(200, |i| async move {
            let head = head("/plain/late", &format!("large-{i}"), 500_000);
            send_and_hold(callers, &format!("{head}{}", "x".repeat(500_000))).await
        });
        trial.add_callers(200, |i| hold_tunnel(routers, format!("tunnel-{i}")));
        for (port, path) in PAGES {
            let address = trial.address(port);
            trial.add_callers(100, |_| async move {
                let request = format!("GET {path} HTTP/1.1\r\nHost: router\r\n\r\n");
                send_and_hold(address, &request).await
            });
        }
        trial.check(descriptors).await;
    });
}

// Guards against shares of memory that hold each alone, and not together.
#[test]
fn crowds_of_all_kinds_at_all_ports_leave_memory_to_others() {
    check_all_ports(json!({ "memory_mb": MEMORY_MB }), usize::MAX);
}

// Guards against the same of descriptors.
#[test]
fn crowds_of_all_kinds_at_all_ports_leave_descriptors_to_others() {
    let extra = json!({ "memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS });
    check_all_ports(extra, DESCRIPTORS);
}
