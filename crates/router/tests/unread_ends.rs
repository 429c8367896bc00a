//! Streams without a length whose caller pauses, so that the router doesn't read on and learns of their end
//! only later.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "crowds/crowd_caller.rs"]
mod crowd_caller;
#[path = "processes/router_process.rs"]
mod router_process;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use common::caller::Caller;
use common::configuration;
use common::fake_store::FakeStore;
use common::http_message;
use common::proxy::Link;
use common::proxy::Proxy;
use common::run;
use common::wire;
use crowd_caller::connect;
use crowd_caller::head;
use router_process::RouterProcess;

/// Events of a whole stream, and the length of one, in bytes.
const EVENTS: usize = 60;
const EVENT_BYTES: usize = 30_000;

/// Events that are sent at once, more than the router reads ahead, and the time between two of the others.
const EVENTS_AT_ONCE: usize = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the caller pauses before and after the path is cut.
const PAUSE: Duration = Duration::from_secs(1);

/// Time for which the path is cut.
const CUT: Duration = Duration::from_millis(300);

/// Time after which the server closes an idle connection.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Time limit of a read.
const READ_TIME: Duration = Duration::from_secs(5);

/// Time limit of a route, in milliseconds.
const ROUTE_MS: u64 = 14_000;

/// What happens while the caller pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meanwhile {
    Nothing,
    /// The path to the server is closed regularly, and opened again.
    PathCut,
}

/// Starts a server whose streams end with their connections, and returns its address.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    address
}

/// Responds to one request, unless the connection stays idle.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let Ok(Some(message)) = timeout(IDLE_TIME, http_message::read(&mut stream)).await else {
        return Ok(());
    };
    let Some(id) = wire::request_id(&message.head) else {
        let body = json!({ "born": wire::BORN }).to_string();
        let head = wire::health_head("i-0");
        let response = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        return stream.write_all(response.as_bytes()).await;
    };
    let head = wire::response_head(id);
    stream.write_all(head.as_bytes()).await?;
    if !message.head.contains("/fixed/") {
        return stream.write_all(b"Content-Length: 0\r\n\r\n").await;
    }
    stream
        .write_all(b"Content-Type: text/event-stream\r\n\r\n")
        .await?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        stream.write_all(event.as_bytes()).await?;
        if number >= EVENTS_AT_ONCE {
            sleep(EVENT_INTERVAL).await;
        }
    }
    Ok(())
}

/// Reads a stream's head, pauses while something happens, and reads on. Returns the response.
async fn pause_and_read(address: SocketAddr, path: &Proxy, meanwhile: Meanwhile) -> String {
    let mut stream = connect(address).await.unwrap();
    let request = head("/fixed/x", "paused", 0);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; 100];
    stream.read_exact(&mut response).await.unwrap();
    sleep(PAUSE).await;
    if meanwhile == Meanwhile::PathCut {
        path.set_for(Link::Closing, CUT).await;
    }
    sleep(PAUSE).await;
    let mut buf = vec![0; 64 << 10];
    while !response.ends_with(b"\r\n0\r\n\r\n") {
        match timeout(READ_TIME, stream.read(&mut buf)).await {
            Ok(Ok(len)) if len > 0 => response.extend_from_slice(&buf[..len]),
            _ => break,
        }
    }
    String::from_utf8(response).unwrap()
}

/// Returns how many events a caller received that pauses, and whether the stream looks complete.
async fn events_received(meanwhile: Meanwhile) -> (usize, bool) {
    let store = FakeStore::start().await;
    let mut cfg = configuration(1);
    for route in cfg["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(ROUTE_MS);
    }
    store.put("op/config", &cfg);
    let path = Proxy::start(start_server().await).await;
    store.put("servers/i-0", &wire::registration(path.address, 100));
    let dir = TempDir::new().unwrap();
    let router = RouterProcess::start(&dir, "router", store.address);
    while Caller::new(router.address).get("/plain/ready").await.status != 200 {
        sleep(Duration::from_millis(50)).await;
    }
    let response = pause_and_read(router.address, &path, meanwhile).await;
    let events = response.matches("\ndata: ").count();
    (events, response.ends_with("\r\n0\r\n\r\n"))
}

// Guards against ORDER and MIXED: the path of a stream that isn't read is cut and opens again, and the check
// at its end finds the server alive.
#[test]
fn a_stream_that_breaks_off_while_its_caller_pauses_is_not_complete() {
    run(async {
        let (events, is_complete) = events_received(Meanwhile::PathCut).await;
        assert!(
            events < EVENTS,
            "the path was cut after all {events} events"
        );
        assert!(!is_complete, "complete after {events} of {EVENTS} events");
    });
}

// Guards against whole streams of slow callers that are given up.
#[test]
fn a_stream_whose_caller_pauses_in_calm_is_complete() {
    run(async {
        let (events, is_complete) = events_received(Meanwhile::Nothing).await;
        assert_eq!(events, EVENTS);
        assert!(is_complete);
    });
}
