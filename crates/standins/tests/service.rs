//! The plain-service stand-in through the HTTP adapter.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use backend::Error;
use backend::HttpPlainService;
use backend::PlainService;
use backend::ServiceRequest;
use bytes::Bytes;
use standins::Service;
use standins::ServiceSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

async fn service() -> Service {
    Service::start(loopback(), ServiceSettings::default())
        .await
        .expect("starts")
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn booking() -> ServiceRequest {
    ServiceRequest {
        method: "POST".to_owned(),
        path: "/bookings?day=3".to_owned(),
        content_type: Some("text/plain".to_owned()),
        key: Some("key-1".to_owned()),
        body: Bytes::from("two blocks"),
    }
}

fn lookup() -> ServiceRequest {
    ServiceRequest {
        method: "GET".to_owned(),
        path: "/stock/felt".to_owned(),
        content_type: None,
        key: None,
        body: Bytes::new(),
    }
}

/// Answers the first request of a connection and closes it on the second.
async fn close_on_second_request(mut stream: TcpStream) -> io::Result<()> {
    read_head(&mut stream).await?;
    stream.write_all(ANSWER).await?;
    read_head(&mut stream).await
}

async fn read_head(stream: &mut TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(())
}

#[tokio::test]
async fn a_booking_reaches_the_service_as_it_came() {
    let service = service().await;

    let answer = HttpPlainService::new()
        .call(service.address(), booking())
        .await;

    let answer = answer.expect("answers");
    assert_eq!(answer.status, 201);
    assert_eq!(answer.content_type.as_deref(), Some("application/json"));
    let ledger = service.ledger();
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger[0].path, "/bookings?day=3");
    assert_eq!(ledger[0].key.as_deref(), Some("key-1"));
    assert_eq!(ledger[0].body, Bytes::from("two blocks"));
}

#[tokio::test]
async fn a_service_that_dies_after_running_leaves_a_broken_call() {
    let service = service().await;
    service.disconnect_after_running(1);

    let answer = HttpPlainService::new()
        .call(service.address(), booking())
        .await;

    assert!(matches!(answer, Err(Error::Broken { .. })), "{answer:?}");
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn a_leaving_service_runs_nothing() {
    let service = service().await;
    service.leave();

    let answer = HttpPlainService::new()
        .call(service.address(), booking())
        .await;

    assert!(matches!(answer, Err(Error::Refused { .. })), "{answer:?}");
    assert_eq!(service.ledger(), []);
}

#[tokio::test]
async fn a_service_that_is_down_is_not_connected() {
    let service = service().await;
    let address = service.address();
    service.stop().await;

    let answer = HttpPlainService::new().call(address, booking()).await;

    assert!(
        matches!(answer, Err(Error::NotConnected { .. })),
        "{answer:?}"
    );
}

/// Takes connections one after the other, each for one answer only.
async fn answer_once_each(listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(close_on_second_request(stream));
    }
}

#[tokio::test]
async fn a_request_on_a_reused_connection_is_not_sent_again() {
    let listener = TcpListener::bind(loopback()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let adapter = HttpPlainService::new();
    tokio::spawn(answer_once_each(listener));
    let first = adapter.call(address, lookup()).await;

    let second = adapter.call(address, lookup()).await;

    assert!(first.is_ok(), "{first:?}");
    assert!(matches!(second, Err(Error::Broken { .. })), "{second:?}");
}

#[tokio::test]
async fn a_booking_takes_a_connection_of_its_own() {
    let listener = TcpListener::bind(loopback()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let adapter = HttpPlainService::new();
    tokio::spawn(answer_once_each(listener));
    let lookup = adapter.call(address, lookup()).await;

    let booking = adapter.call(address, booking()).await;

    assert!(lookup.is_ok(), "{lookup:?}");
    assert!(booking.is_ok(), "{booking:?}");
}
