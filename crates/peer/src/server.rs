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
const MAX_UNAUTHENTICATED: usize = 64;

/// Time after which a connection without a call is closed, in milliseconds.
pub const IDLE_MS: u64 = 300_000;

/// Wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    pub idle_ms: u64,
}

/// One router's calls.
#[derive(Clone)]
struct PeerHandler {
    from: Arc<Introduction>,
    inbox: Arc<dyn Inbox>,
    observer: Arc<dyn Observer>,
}

impl Server {
    /// Takes connections until it is dropped.
    pub async fn run(self, listener: TcpListener) {
        let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let unauthenticated_slots = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            let Ok((io, address)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection_slot = Arc::clone(&connection_slots).try_acquire_owned();
            let unauthenticated_slot = Arc::clone(&unauthenticated_slots).try_acquire_owned();
            match (connection_slot, unauthenticated_slot) {
                (Ok(connection_slot), Ok(unauthenticated_slot)) => {
                    connections.spawn(self.clone().serve(
                        io,
                        address,
                        connection_slot,
                        unauthenticated_slot,
                    ));
                }
                _ => self.observer.on_refused(),
            }
        }
    }

    async fn serve(
        self,
        mut io: TcpStream,
        address: SocketAddr,
        _connection_slot: OwnedSemaphorePermit,
        unauthenticated_slot: OwnedSemaphorePermit,
    ) {
        match self.authenticate(&mut io, address).await {
            Ok(from) => {
                drop(unauthenticated_slot);
                self.handle_requests(io, from).await;
            }
            Err(e) => {
                self.observer.on_refused();
                log::warn!("event=peer_refused reason={:?}", e.to_string());
            }
        }
    }

    async fn authenticate(&self, io: &mut TcpStream, address: SocketAddr) -> Result<Introduction> {
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

    async fn handle_requests(&self, io: TcpStream, from: Introduction) {
        let transport = server_transport(CountedIo::new(io, Arc::clone(&self.observer)));
        let handler = PeerHandler {
            from: Arc::new(from),
            inbox: Arc::clone(&self.inbox),
            observer: Arc::clone(&self.observer),
        };
        let requests = BaseChannel::with_defaults(transport).execute(handler.serve());
        let mut requests = pin!(requests);
        let idle = Duration::from_millis(self.idle_ms);
        // One at a time, so that messages stay in order.
        while let Ok(Some(request)) = timeout(idle, requests.next()).await {
            request.await;
        }
    }
}

impl Peer for PeerHandler {
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
