//! Connections between routers.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use peer::Inbox;
use peer::Introduction;
use peer::Links;
use peer::Observer;
use peer::Secret;
use peer::Server;
use peer::IDLE_TIMEOUT_MS;
use policy::PeerMessage;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Counts what a link or a server reports.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    received: AtomicU64,
    refused: AtomicU64,
    dropped: AtomicU64,
}

impl Observer for Counts {
    fn on_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::SeqCst);
    }

    fn on_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::SeqCst);
    }

    fn on_refused(&self) {
        self.refused.fetch_add(1, Ordering::SeqCst);
    }

    fn on_dropped(&self, messages: u64) {
        self.dropped.fetch_add(messages, Ordering::SeqCst);
    }

    fn on_bad_message(&self) {}
}

/// Forwards received messages to a channel.
struct ChannelInbox(mpsc::UnboundedSender<(Introduction, PeerMessage)>);

impl Inbox for ChannelInbox {
    fn receive(&self, from: &Introduction, message: PeerMessage) {
        self.0.send((from.clone(), message)).unwrap();
    }
}

/// A running server whose received messages can be read.
struct TestServer {
    address: SocketAddr,
    messages: mpsc::UnboundedReceiver<(Introduction, PeerMessage)>,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

async fn start_server_at(address: SocketAddr) -> TestServer {
    start_server_with_idle_timeout(address, IDLE_TIMEOUT_MS).await
}

async fn start_server_with_idle_timeout(address: SocketAddr, idle_timeout_ms: u64) -> TestServer {
    let listener = TcpListener::bind(address).await.unwrap();
    let (tx, messages) = mpsc::unbounded_channel();
    let counts = Arc::new(Counts::default());
    let server = Server {
        secret: Secret::new(b"secret"),
        inbox: Arc::new(ChannelInbox(tx)),
        observer: counts.clone(),
        idle_timeout_ms,
    };
    TestServer {
        address: listener.local_addr().unwrap(),
        messages,
        counts,
        task: tokio::spawn(server.run(listener)),
    }
}

async fn start_server() -> TestServer {
    start_server_at(([127, 0, 0, 1], 0).into()).await
}

fn introduction(vm: &str) -> Introduction {
    Introduction {
        vm: vm.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        region: "west".to_owned(),
        failure_domain: "west-1".to_owned(),
        incarnation: 7,
    }
}

fn links_with_secret(secret: &[u8]) -> (Links, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let links = Links::new(introduction("vm1"), Secret::new(secret), counts.clone());
    (links, counts)
}

/// Waits until a counter has reached `minimum`.
async fn wait_for_count(count: &AtomicU64, minimum: u64) {
    while count.load(Ordering::SeqCst) < minimum {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn messages_arrive_in_order_with_their_sender_and_are_counted() {
    let mut server = start_server().await;
    let (links, counts) = links_with_secret(b"secret");

    for version in 0..100 {
        links.send("vm2", server.address, PeerMessage::Version(version));
    }

    for version in 0..100 {
        let expected = (introduction("vm1"), PeerMessage::Version(version));
        assert_eq!(server.messages.recv().await, Some(expected));
    }
    assert!(counts.sent.load(Ordering::SeqCst) > 0);
    assert!(server.counts.received.load(Ordering::SeqCst) > 0);
    assert_eq!(counts.dropped.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_router_with_another_secret_is_refused_and_counted() {
    let mut server = start_server().await;
    let (links, _) = links_with_secret(b"another secret");

    links.send("vm2", server.address, PeerMessage::Version(1));

    wait_for_count(&server.counts.refused, 1).await;
    assert!(server.messages.try_recv().is_err());
}

#[tokio::test]
async fn a_client_with_another_protocol_is_refused() {
    let server = start_server().await;
    let mut io = TcpStream::connect(server.address).await.unwrap();

    io.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();

    let mut response = Vec::new();
    let _ = io.read_to_end(&mut response).await;
    assert!(response.is_empty());
    wait_for_count(&server.counts.refused, 1).await;
}

#[tokio::test]
async fn a_server_without_the_secret_receives_no_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (links, _) = links_with_secret(b"secret");

    links.send(
        "vm2",
        listener.local_addr().unwrap(),
        PeerMessage::Version(1),
    );
    let (mut io, _) = listener.accept().await.unwrap();
    io.write_all(&[7; 64]).await.unwrap();
    let mut received_bytes = Vec::new();
    io.read_to_end(&mut received_bytes).await.unwrap();

    let introduction = serde_json::to_vec(&introduction("vm1")).unwrap();
    assert_eq!(received_bytes.len(), 8 + 32 + 2 + introduction.len());
}

#[tokio::test]
async fn a_restarted_router_receives_messages_again() {
    let mut server = start_server().await;
    let (links, _) = links_with_secret(b"secret");
    links.send("vm2", server.address, PeerMessage::Version(1));
    server.messages.recv().await.unwrap();

    server.task.abort();
    let _ = (&mut server.task).await;
    let mut server = start_server_at(server.address).await;

    let message = loop {
        links.send("vm2", server.address, PeerMessage::Version(2));
        tokio::task::yield_now().await;
        if let Ok(message) = server.messages.try_recv() {
            break message;
        }
    };
    assert_eq!(message.1, PeerMessage::Version(2));
}

#[tokio::test]
async fn the_oldest_messages_to_an_unreachable_router_are_dropped_and_counted() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let (links, counts) = links_with_secret(b"secret");

    for version in 0..1_000 {
        links.send("vm2", address, PeerMessage::Version(version));
    }

    assert!(counts.dropped.load(Ordering::SeqCst) >= 700);
    let mut server = start_server_at(address).await;
    let (_, first) = server.messages.recv().await.unwrap();
    assert!(first != PeerMessage::Version(0));
}

#[tokio::test]
async fn an_undecodable_frame_closes_only_its_own_connection() {
    let mut server = start_server().await;
    let (links, _) = links_with_secret(b"secret");
    links.send("vm2", server.address, PeerMessage::Version(1));
    server.messages.recv().await.unwrap();
    let secret = Secret::new(b"secret");

    for frame in [vec![0xff; 40], [0, 0, 0, 4, 1, 2, 3, 4].to_vec()] {
        let mut io = TcpStream::connect(server.address).await.unwrap();
        peer::connect(&mut io, "server", &secret, &introduction("vm9"))
            .await
            .unwrap();
        io.write_all(&frame).await.unwrap();
        let mut rest = Vec::new();
        let _ = io.read_to_end(&mut rest).await;
    }

    links.send("vm2", server.address, PeerMessage::Version(2));
    let (_, message) = server.messages.recv().await.unwrap();
    assert_eq!(message, PeerMessage::Version(2));
}

// A half-open connection, whose other end is gone without closing it, would
// otherwise stay open for good.
#[tokio::test]
async fn an_idle_connection_is_closed_and_later_messages_still_arrive() {
    let mut server = start_server_with_idle_timeout(([127, 0, 0, 1], 0).into(), 50).await;
    let mut io = TcpStream::connect(server.address).await.unwrap();
    let secret = Secret::new(b"secret");
    peer::connect(&mut io, "server", &secret, &introduction("vm9"))
        .await
        .unwrap();
    let (links, _) = links_with_secret(b"secret");
    links.send("vm2", server.address, PeerMessage::Version(1));
    server.messages.recv().await.unwrap();

    let mut rest = Vec::new();
    io.read_to_end(&mut rest).await.unwrap();

    assert!(rest.is_empty());
    let message = loop {
        links.send("vm2", server.address, PeerMessage::Version(2));
        tokio::task::yield_now().await;
        if let Ok((_, message)) = server.messages.try_recv() {
            break message;
        }
    };
    assert_eq!(message, PeerMessage::Version(2));
}
