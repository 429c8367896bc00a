//! Connections from other routers.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use policy::PeerMessage;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::counted_io::CountedIo;
use crate::error::TimedOutSnafu;
use crate::handshake;
use crate::service::server_transport;
use crate::service::Peer;
use crate::Introduction;
use crate::Observer;
use crate::Result;
use crate::Secret;
use crate::WireMessage;

/// Time for the other end to prove who it is.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections at most.
const MAX_CONNECTIONS: usize = 4_096;

/// Connections at most that have not proved who they are.
const MAX_STRANGERS: usize = 64;

/// Time after which a connection without a call is closed, in milliseconds.
pub const IDLE_TIMEOUT_MS: u64 = 300_000;

/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes messages of other routers.
pub trait Inbox: Send + Sync {
    /// Takes a message of the router that introduced itself as `from`.
    fn receive(&self, from: &Introduction, message: PeerMessage);
}

/// Takes connections of other routers.
#[derive(Clone)]
pub struct Server {
    /// The shared secret.
    pub secret: Secret,
    /// Where messages go.
    pub inbox: Arc<dyn Inbox>,
    /// Counts what passes.
    pub observer: Arc<dyn Observer>,
    /// Time after which a connection without a call is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One router's calls.
#[derive(Clone)]
struct Calls {
    from: Arc<Introduction>,
    inbox: Arc<dyn Inbox>,
    observer: Arc<dyn Observer>,
}

impl Server {
    /// Takes connections until it is dropped.
    pub async fn run(self, listener: TcpListener) {
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let strangers = Arc::new(Semaphore::new(MAX_STRANGERS));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            let Ok((io, address)) = accepted else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let slot = Arc::clone(&slots).try_acquire_owned();
            let stranger = Arc::clone(&strangers).try_acquire_owned();
            match (slot, stranger) {
                (Ok(slot), Ok(stranger)) => {
                    connections.spawn(self.clone().serve(io, address, slot, stranger));
                }
                _ => self.observer.on_refused(),
            }
        }
    }

    async fn serve(
        self,
        mut io: TcpStream,
        address: SocketAddr,
        _slot: OwnedSemaphorePermit,
        stranger: OwnedSemaphorePermit,
    ) {
        match self.admit(&mut io, address).await {
            Ok(from) => {
                drop(stranger);
                self.answer(io, from).await;
            }
            Err(e) => {
                self.observer.on_refused();
                log::warn!("event=peer_refused reason={:?}", e.to_string());
            }
        }
    }

    async fn admit(&self, io: &mut TcpStream, address: SocketAddr) -> Result<Introduction> {
        let peer = address.to_string();
        match timeout(
            HANDSHAKE_TIMEOUT,
            handshake::accept(io, &peer, &self.secret),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => TimedOutSnafu {
                step: "handshake",
                peer,
            }
            .fail(),
        }
    }

    async fn answer(&self, io: TcpStream, from: Introduction) {
        let transport = server_transport(CountedIo::new(io, Arc::clone(&self.observer)));
        let calls = Calls {
            from: Arc::new(from),
            inbox: Arc::clone(&self.inbox),
            observer: Arc::clone(&self.observer),
        };
        let requests = BaseChannel::with_defaults(transport).execute(calls.serve());
        let mut requests = pin!(requests);
        let idle = Duration::from_millis(self.idle_timeout_ms);
        // One at a time, so that messages stay in order.
        while let Ok(Some(call)) = timeout(idle, requests.next()).await {
            call.await;
        }
    }
}

impl Peer for Calls {
    async fn deliver(self, _: Context, messages: Vec<WireMessage>) -> u32 {
        let mut delivered = 0;
        for message in messages {
            match PeerMessage::try_from(message) {
                Ok(message) => {
                    self.inbox.receive(&self.from, message);
                    delivered += 1;
                }
                Err(e) => {
                    self.observer.on_bad_message();
                    log::warn!(
                        "event=peer_message_bad vm={} reason={:?}",
                        self.from.vm,
                        e.to_string()
                    );
                }
            }
        }
        delivered
    }
}
