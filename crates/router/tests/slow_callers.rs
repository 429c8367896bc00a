//! Callers that are slow, half open or too many.

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

fn short() -> Limits {
    Limits {
        header_ms: 50,
        body_ms: 50,
        write_ms: 50,
        ..Limits::default()
    }
}

/// Sends `text` and returns all that comes back until the router closes.
async fn sent(address: SocketAddr, text: &str) -> String {
    let mut io = TcpStream::connect(address).await.unwrap();
    io.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = io.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

#[tokio::test]
async fn a_caller_that_sends_nothing_is_cut() {
    let system = a_system().with_limits(short()).start().await;

    let answer = sent(system.address(0), "").await;

    assert_eq!(answer, "");
}

#[tokio::test]
async fn a_caller_that_never_ends_its_head_is_cut() {
    let system = a_system().with_limits(short()).start().await;

    let answer = sent(system.address(0), "POST /v1/completions HTTP/1.1\r\nhost:").await;

    assert!(!answer.contains("200 OK"), "{answer}");
}

#[tokio::test]
async fn a_caller_that_never_ends_its_body_is_refused_and_cut() {
    let system = a_system().with_limits(short()).start().await;

    let answer = sent(system.address(0), HEAD).await;

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert!(system.engines.requests().is_empty());
}

#[tokio::test]
async fn a_chunked_body_over_the_limit_is_refused_before_its_end() {
    let system = a_system().with_body_limit(2_000).start().await;
    let head = HEAD.replace("content-length: 100", "transfer-encoding: chunked");
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1_000));

    let answer = sent(system.address(0), &format!("{head}{}", chunk.repeat(3))).await;

    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("body_too_large"), "{answer}");
}

#[tokio::test]
async fn an_idle_connection_is_cut_after_its_answer() {
    let system = a_system().with_limits(short()).start().await;

    let answer = sent(
        system.address(0),
        "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n",
    )
    .await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn a_caller_that_does_not_read_its_stream_is_cut() {
    let system = a_system().with_limits(short()).start().await;
    let body = r#"{"model":"m","prompt":"x","max_tokens":1000000,"stream":true}"#;
    let head = HEAD.replace("100", &body.len().to_string());
    let mut io = TcpStream::connect(system.address(0)).await.unwrap();

    io.write_all(format!("{head}{body}").as_bytes())
        .await
        .unwrap();
    system.engines.has_open(1).await;

    system.engines.has_open(0).await;
}

#[tokio::test]
async fn connections_over_the_limit_are_cut_and_counted() {
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let system = a_system().with_limits(limits).start().await;
    system.engines.hold_after(1);
    let mut first = Caller::stream(system.address(0), 2).open().await;
    first.take(1).await;

    let second = sent(system.address(0), "").await;

    assert_eq!(second, "");
    first.hang_up();
    let metrics = loop {
        let answer = sent(
            system.address(0),
            "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        )
        .await;
        if !answer.is_empty() {
            break answer;
        }
    };
    let count = metrics
        .lines()
        .find_map(|line| line.strip_prefix("turmerichollow_connections_refused_total "))
        .map(|count| count.parse::<u32>().unwrap());
    assert!(count >= Some(1), "{metrics}");
}
