//! Calls the plain-service stand-in through the HTTP adapter.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use backend::Error;
use backend::HttpPlainService;
use backend::PlainService;
use backend::ResponseMemory;
use backend::ServiceRequest;
use bytes::Bytes;
use standins::Service;
use standins::ServiceSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Empty response, which keeps the connection open.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

async fn start_service() -> Service {
    Service::start(loopback(), ServiceSettings::default())
        .await
        .expect("starts")
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Memory without a limit.
struct UnlimitedMemory;

impl ResponseMemory for UnlimitedMemory {
    fn try_grow(&self, _: u64) -> bool {
        true
    }
}

fn unlimited() -> Arc<dyn ResponseMemory> {
    Arc::new(UnlimitedMemory)
}

/// Returns a call that adds an entry, which is not idempotent.
fn booking() -> ServiceRequest {
    ServiceRequest {
        method: "POST".to_owned(),
        path: "/bookings?day=3".to_owned(),
        content_type: Some("text/plain".to_owned()),
        key: Some("key-1".to_owned()),
        body: Bytes::from("two blocks"),
    }
}

/// Returns an idempotent call, which may use a kept-alive connection.
fn lookup() -> ServiceRequest {
    ServiceRequest {
        method: "GET".to_owned(),
        path: "/stock/felt".to_owned(),
        content_type: None,
        key: None,
        body: Bytes::new(),
    }
}

/// Responds to the first request of a connection and closes the connection after the head of the
/// second one.
async fn respond_once(mut stream: TcpStream) -> io::Result<()> {
    read_head(&mut stream).await?;
    stream.write_all(RESPONSE).await?;
    read_head(&mut stream).await
}

/// Reads a request up to the end of its head.
async fn read_head(stream: &mut TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(())
}

#[tokio::test]
async fn a_booking_reaches_the_service_unchanged() {
    let service = start_service().await;

    let response = HttpPlainService::new()
        .call(service.address(), booking(), unlimited())
        .await;

    let response = response.expect("responds");
    assert_eq!(response.status, 201);
    assert_eq!(response.content_type.as_deref(), Some("application/json"));
    let ledger = service.ledger();
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger[0].path, "/bookings?day=3");
    assert_eq!(ledger[0].key.as_deref(), Some("key-1"));
    assert_eq!(ledger[0].body, Bytes::from("two blocks"));
}

#[tokio::test]
async fn a_call_whose_service_disconnects_after_running_is_broken() {
    let service = start_service().await;
    service.disconnect_after_running(1);

    let response = HttpPlainService::new()
        .call(service.address(), booking(), unlimited())
        .await;

    assert!(
        matches!(response, Err(Error::Broken { .. })),
        "{response:?}"
    );
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn a_leaving_service_refuses_calls() {
    let service = start_service().await;
    service.leave();

    let response = HttpPlainService::new()
        .call(service.address(), booking(), unlimited())
        .await;

    assert!(
        matches!(response, Err(Error::Refused { .. })),
        "{response:?}"
    );
    assert_eq!(service.ledger(), []);
}

#[tokio::test]
async fn a_service_that_is_down_cannot_be_connected() {
    let service = start_service().await;
    let address = service.address();
    service.stop().await;

    let response = HttpPlainService::new()
        .call(address, booking(), unlimited())
        .await;

    assert!(
        matches!(response, Err(Error::NotConnected { .. })),
        "{response:?}"
    );
}

/// Accepts connections and responds only to the first request of each.
async fn accept_connections(listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(respond_once(stream));
    }
}

#[tokio::test]
async fn a_request_that_fails_on_a_reused_connection_is_not_resent() {
    let listener = TcpListener::bind(loopback()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let adapter = HttpPlainService::new();
    tokio::spawn(accept_connections(listener));
    let first = adapter.call(address, lookup(), unlimited()).await;

    let second = adapter.call(address, lookup(), unlimited()).await;

    assert!(first.is_ok(), "{first:?}");
    assert!(matches!(second, Err(Error::Broken { .. })), "{second:?}");
}

#[tokio::test]
async fn a_booking_does_not_reuse_a_connection() {
    let listener = TcpListener::bind(loopback()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let adapter = HttpPlainService::new();
    tokio::spawn(accept_connections(listener));
    let lookup = adapter.call(address, lookup(), unlimited()).await;

    let booking = adapter.call(address, booking(), unlimited()).await;

    assert!(lookup.is_ok(), "{lookup:?}");
    assert!(booking.is_ok(), "{booking:?}");
}
