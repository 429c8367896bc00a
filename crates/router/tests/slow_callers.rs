//! Limits on callers: slow or half-open connections, large bodies, too many connections.

mod common;

use std::net::SocketAddr;

use router::Limits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use common::caller::Caller;
use common::system::a_system;

const HEAD: &str = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n\
    authorization: Bearer letmein\r\ncontent-length: 100\r\n\r\n";

fn short_timeouts() -> Limits {
    Limits {
        header_ms: 50,
        body_ms: 50,
        write_ms: 50,
        ..Limits::default()
    }
}

/// Sends `text` on a new connection and returns everything received until the router closes it.
async fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut io = TcpStream::connect(address).await.unwrap();
    io.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let _ = io.read_to_end(&mut response).await;
    String::from_utf8(response).unwrap()
}

#[tokio::test]
async fn a_caller_that_sends_nothing_is_disconnected() {
    let system = a_system().with_limits(short_timeouts()).start().await;

    let response = send_raw(system.address(0), "").await;

    assert_eq!(response, "");
}

#[tokio::test]
async fn a_caller_that_never_completes_its_head_is_disconnected() {
    let system = a_system().with_limits(short_timeouts()).start().await;

    let response = send_raw(system.address(0), "POST /v1/completions HTTP/1.1\r\nhost:").await;

    assert!(!response.contains("200 OK"), "{response}");
}

#[tokio::test]
async fn a_caller_that_never_completes_its_body_is_refused_and_disconnected() {
    let system = a_system().with_limits(short_timeouts()).start().await;

    let response = send_raw(system.address(0), HEAD).await;

    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert!(system.engines.requests().is_empty());
}

#[tokio::test]
async fn a_chunked_body_over_the_limit_is_refused_before_its_end() {
    let system = a_system().with_body_limit(2_000).start().await;
    let head = HEAD.replace("content-length: 100", "transfer-encoding: chunked");
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1_000));

    let response = send_raw(system.address(0), &format!("{head}{}", chunk.repeat(3))).await;

    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains("body_too_large"), "{response}");
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_response() {
    let system = a_system().with_limits(short_timeouts()).start().await;

    let response = send_raw(
        system.address(0),
        "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n",
    )
    .await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn a_caller_that_does_not_read_its_stream_is_disconnected() {
    let system = a_system().with_limits(short_timeouts()).start().await;
    let body = r#"{"model":"m","prompt":"x","max_tokens":1000000,"stream":true}"#;
    let head = HEAD.replace("100", &body.len().to_string());
    let mut io = TcpStream::connect(system.address(0)).await.unwrap();

    io.write_all(format!("{head}{body}").as_bytes())
        .await
        .unwrap();
    system.engines.wait_for_open(1).await;

    system.engines.wait_for_open(0).await;
}

#[tokio::test]
async fn connections_over_the_limit_are_closed_and_counted() {
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let system = a_system().with_limits(limits).start().await;
    system.engines.hold_after(1);
    let mut first = Caller::stream(system.address(0), 2).open().await;
    first.take(1).await;

    let second = send_raw(system.address(0), "").await;

    assert_eq!(second, "");
    first.disconnect();
    let metrics = loop {
        let response = send_raw(
            system.address(0),
            "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        )
        .await;
        if !response.is_empty() {
            break response;
        }
    };
    let count = metrics
        .lines()
        .find_map(|line| line.strip_prefix("turmerichollow_connections_refused_total "))
        .map(|count| count.parse::<u32>().unwrap());
    assert!(count >= Some(1), "{metrics}");
}

// Guards against connections that take the place of all others until their head is overdue.
#[tokio::test]
async fn callers_who_hold_silent_connections_make_place_for_others() {
    let limits = Limits {
        connections: 10,
        ..Limits::default()
    };
    let system = a_system().with_limits(limits).start().await;
    let mut silent = Vec::new();
    for _ in 0..10 {
        silent.push(TcpStream::connect(system.address(0)).await.unwrap());
    }
    let text = "GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

    let response = send_raw(system.address(0), text).await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Returns limits under which one body of 300,000 bytes has room, and two have not.
fn little_memory() -> Limits {
    Limits {
        memory_bytes: 6 << 20,
        ..Limits::default()
    }
}

// Guards against requests that wait for memory, or that are refused without saying that they did not run.
#[tokio::test]
async fn a_caller_for_whose_body_there_is_no_memory_is_refused_as_not_run() {
    let system = a_system().with_limits(little_memory()).start().await;
    system.engines.hold_after(0);
    let prompt = "x".repeat(300_000);
    let body = format!(r#"{{"model":"m","prompt":"{prompt}","max_tokens":1}}"#);
    let request = format!("{}{body}", HEAD.replace("100", &body.len().to_string()));
    let mut first = TcpStream::connect(system.address(0)).await.unwrap();
    first.write_all(request.as_bytes()).await.unwrap();
    system.engines.wait_for_open(1).await;

    let response = send_raw(system.address(0), &request).await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 1\r\n"), "{response}");
    assert!(response.contains("no_memory"), "{response}");
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert_eq!(system.engines.requests().len(), 1);
}

#[tokio::test]
async fn a_caller_whose_body_the_memory_never_allows_is_refused_at_once() {
    let system = a_system().with_limits(little_memory()).start().await;
    let head = HEAD.replace("100", "400000");

    let response = send_raw(system.address(0), &head).await;

    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}
