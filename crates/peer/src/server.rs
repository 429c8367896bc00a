//! Incoming connections from other routers.

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

/// Timeout of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 4_096;

/// Maximum number of open connections whose handshake is not complete.
const MAX_UNAUTHENTICATED: usize = 64;

/// Default time after which a connection without a request is closed, in milliseconds.
pub const IDLE_TIMEOUT_MS: u64 = 300_000;

/// Delay before the next attempt to accept after accepting has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives the messages of other routers.
pub trait Inbox: Send + Sync {
    /// Called for each decoded message, in the order in which the router `from` sent them.
    fn receive(&self, from: &Introduction, message: PeerMessage);
}

/// Accepts connections of other routers and passes their messages on.
#[derive(Clone)]
pub struct Server {
    /// Secret that all routers share.
    pub secret: Secret,
    /// Receives the messages.
    pub inbox: Arc<dyn Inbox>,
    /// Counts bytes, refused connections and bad messages.
    pub observer: Arc<dyn Observer>,
    /// Time after which a connection without a request is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Handles the RPCs on one connection.
#[derive(Clone)]
struct PeerHandler {
    from: Arc<Introduction>,
    inbox: Arc<dyn Inbox>,
    observer: Arc<dyn Observer>,
}

impl Server {
    /// Accepts connections until it is dropped, which closes all of them.
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

    /// Performs the handshake and handles requests until the connection ends.
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

    /// Performs the handshake within its timeout.
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

    /// Handles requests until the connection fails or is idle for too long.
    async fn handle_requests(&self, io: TcpStream, from: Introduction) {
        let transport = server_transport(CountedIo::new(io, Arc::clone(&self.observer)));
        let handler = PeerHandler {
            from: Arc::new(from),
            inbox: Arc::clone(&self.inbox),
            observer: Arc::clone(&self.observer),
        };
        let requests = BaseChannel::with_defaults(transport).execute(handler.serve());
        let mut requests = pin!(requests);
        let idle = Duration::from_millis(self.idle_timeout_ms);
        // One request at a time, so that messages stay in order.
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
