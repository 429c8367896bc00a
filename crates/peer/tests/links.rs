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

struct Mailbox(mpsc::UnboundedSender<(Introduction, PeerMessage)>);

impl Inbox for Mailbox {
    fn receive(&self, from: &Introduction, message: PeerMessage) {
        self.0.send((from.clone(), message)).unwrap();
    }
}

/// A router that takes messages.
struct Taker {
    address: SocketAddr,
    messages: mpsc::UnboundedReceiver<(Introduction, PeerMessage)>,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

async fn a_taker_at(address: SocketAddr) -> Taker {
    a_taker_that_waits(address, IDLE_TIMEOUT_MS).await
}

async fn a_taker_that_waits(address: SocketAddr, idle_timeout_ms: u64) -> Taker {
    let listener = TcpListener::bind(address).await.unwrap();
    let (tx, messages) = mpsc::unbounded_channel();
    let counts = Arc::new(Counts::default());
    let server = Server {
        secret: Secret::new(b"secret"),
        inbox: Arc::new(Mailbox(tx)),
        observer: counts.clone(),
        idle_timeout_ms,
    };
    Taker {
        address: listener.local_addr().unwrap(),
        messages,
        counts,
        task: tokio::spawn(server.run(listener)),
    }
}

async fn a_taker() -> Taker {
    a_taker_at(([127, 0, 0, 1], 0).into()).await
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

fn links(secret: &[u8]) -> (Links, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let links = Links::new(introduction("vm1"), Secret::new(secret), counts.clone());
    (links, counts)
}

async fn reaches(count: &AtomicU64, wanted: u64) {
    while count.load(Ordering::SeqCst) < wanted {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn messages_arrive_in_order_with_their_sender_and_are_counted() {
    let mut taker = a_taker().await;
    let (links, counts) = links(b"secret");

    for version in 0..100 {
        links.send("vm2", taker.address, PeerMessage::Version(version));
    }

    for version in 0..100 {
        let expected = (introduction("vm1"), PeerMessage::Version(version));
        assert_eq!(taker.messages.recv().await, Some(expected));
    }
    assert!(counts.sent.load(Ordering::SeqCst) > 0);
    assert!(taker.counts.received.load(Ordering::SeqCst) > 0);
    assert_eq!(counts.dropped.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_router_with_another_secret_is_refused_and_counted() {
    let mut taker = a_taker().await;
    let (links, _) = links(b"another secret");

    links.send("vm2", taker.address, PeerMessage::Version(1));

    reaches(&taker.counts.refused, 1).await;
    assert!(taker.messages.try_recv().is_err());
}

#[tokio::test]
async fn a_stranger_that_speaks_another_protocol_is_refused() {
    let taker = a_taker().await;
    let mut io = TcpStream::connect(taker.address).await.unwrap();

    io.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();

    let mut answer = Vec::new();
    let _ = io.read_to_end(&mut answer).await;
    assert!(answer.is_empty());
    reaches(&taker.counts.refused, 1).await;
}

#[tokio::test]
async fn an_impostor_in_place_of_a_router_gets_no_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (links, _) = links(b"secret");

    links.send(
        "vm2",
        listener.local_addr().unwrap(),
        PeerMessage::Version(1),
    );
    let (mut io, _) = listener.accept().await.unwrap();
    io.write_all(&[7; 64]).await.unwrap();
    let mut got = Vec::new();
    io.read_to_end(&mut got).await.unwrap();

    let introduction = serde_json::to_vec(&introduction("vm1")).unwrap();
    assert_eq!(got.len(), 8 + 32 + 2 + introduction.len());
}

#[tokio::test]
async fn a_router_that_comes_back_is_reached_again() {
    let mut taker = a_taker().await;
    let (links, _) = links(b"secret");
    links.send("vm2", taker.address, PeerMessage::Version(1));
    taker.messages.recv().await.unwrap();

    taker.task.abort();
    let _ = (&mut taker.task).await;
    let mut taker = a_taker_at(taker.address).await;

    let message = loop {
        links.send("vm2", taker.address, PeerMessage::Version(2));
        tokio::task::yield_now().await;
        if let Ok(message) = taker.messages.try_recv() {
            break message;
        }
    };
    assert_eq!(message.1, PeerMessage::Version(2));
}

#[tokio::test]
async fn the_oldest_messages_to_a_router_that_is_gone_are_dropped_and_counted() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let (links, counts) = links(b"secret");

    for version in 0..1_000 {
        links.send("vm2", address, PeerMessage::Version(version));
    }

    assert!(counts.dropped.load(Ordering::SeqCst) >= 700);
    let mut taker = a_taker_at(address).await;
    let (_, first) = taker.messages.recv().await.unwrap();
    assert!(first != PeerMessage::Version(0));
}

#[tokio::test]
async fn a_frame_that_is_no_call_ends_its_connection_only() {
    let mut taker = a_taker().await;
    let (links, _) = links(b"secret");
    links.send("vm2", taker.address, PeerMessage::Version(1));
    taker.messages.recv().await.unwrap();
    let secret = Secret::new(b"secret");

    for frame in [vec![0xff; 40], [0, 0, 0, 4, 1, 2, 3, 4].to_vec()] {
        let mut io = TcpStream::connect(taker.address).await.unwrap();
        peer::connect(&mut io, "taker", &secret, &introduction("vm9"))
            .await
            .unwrap();
        io.write_all(&frame).await.unwrap();
        let mut rest = Vec::new();
        let _ = io.read_to_end(&mut rest).await;
    }

    links.send("vm2", taker.address, PeerMessage::Version(2));
    let (_, message) = taker.messages.recv().await.unwrap();
    assert_eq!(message, PeerMessage::Version(2));
}

#[tokio::test]
async fn a_half_open_connection_is_closed_and_made_again_when_needed() {
    let mut taker = a_taker_that_waits(([127, 0, 0, 1], 0).into(), 50).await;
    let mut io = TcpStream::connect(taker.address).await.unwrap();
    let secret = Secret::new(b"secret");
    peer::connect(&mut io, "taker", &secret, &introduction("vm9"))
        .await
        .unwrap();
    let (links, _) = links(b"secret");
    links.send("vm2", taker.address, PeerMessage::Version(1));
    taker.messages.recv().await.unwrap();

    let mut rest = Vec::new();
    io.read_to_end(&mut rest).await.unwrap();

    assert!(rest.is_empty());
    let message = loop {
        links.send("vm2", taker.address, PeerMessage::Version(2));
        tokio::task::yield_now().await;
        if let Ok((_, message)) = taker.messages.try_recv() {
            break message;
        }
    };
    assert_eq!(message, PeerMessage::Version(2));
}
