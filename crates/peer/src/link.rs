//! The outgoing connection to one other router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use policy::PeerMessage;
use snafu::ResultExt;
use tarpc::client;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::counted_io::CountedIo;
use crate::error::IoSnafu;
use crate::error::RpcSnafu;
use crate::error::TimedOutSnafu;
use crate::handshake;
use crate::queue::Queue;
use crate::service::client_transport;
use crate::service::PeerClient;
use crate::Introduction;
use crate::Observer;
use crate::Result;
use crate::Secret;

/// Timeout for connecting, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of one RPC.
const RPC_TIMEOUT: Duration = Duration::from_secs(5);

/// Initial backoff after a failed connection, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;

/// Maximum backoff after failed connections, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// The outgoing connection to one other router, with the queue that feeds it.
pub struct Link {
    /// Address at which the other router accepts connections.
    pub address: SocketAddr,
    /// Messages to send.
    pub queue: Arc<Queue>,
    /// Secret that all routers share.
    pub secret: Secret,
    /// Introduction of this router.
    pub introduction: Arc<Introduction>,
    /// Counts bytes and dropped messages.
    pub observer: Arc<dyn Observer>,
}

impl Link {
    /// Sends queued messages until it is dropped, and reconnects after each
    /// failure with exponential backoff and jitter.
    pub async fn run(self) {
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            self.queue.wait_nonempty().await;
            let mut delivered = false;
            if let Err(e) = self.connect_and_send(&mut delivered).await {
                log::debug!("event=peer_link_failed reason={:?}", e.to_string());
            }
            if delivered {
                backoff_ms = MIN_BACKOFF_MS;
            }
            let jitter_ms = rand::random_range(0..=backoff_ms / 2);
            sleep(Duration::from_millis(backoff_ms / 2 + jitter_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Connects and sends until the connection fails. Sets `delivered` once a
    /// batch was delivered, so that the caller resets the backoff.
    async fn connect_and_send(&self, delivered: &mut bool) -> Result<()> {
        let peer = self.address.to_string();
        let io = match timeout(CONNECT_TIMEOUT, self.connect(&peer)).await {
            Ok(connected) => connected?,
            Err(_) => {
                return TimedOutSnafu {
                    step: "connect",
                    peer,
                }
                .fail()
            }
        };
        let transport = client_transport(CountedIo::new(io, Arc::clone(&self.observer)));
        let client = PeerClient::new(client::Config::default(), transport);
        tokio::select! {
            _ = client.dispatch => Ok(()),
            result = self.send_batches(&client.client, &peer, delivered) => result,
        }
    }

    /// Opens a TCP connection and performs the handshake.
    async fn connect(&self, peer: &str) -> Result<TcpStream> {
        let mut io = TcpStream::connect(self.address).await.context(IoSnafu {
            step: "connect",
            peer,
        })?;
        io.set_nodelay(true).context(IoSnafu {
            step: "connect",
            peer,
        })?;
        handshake::connect(&mut io, peer, &self.secret, &self.introduction).await?;
        Ok(io)
    }

    /// Sends batches of queued messages until an RPC fails; the failed batch is
    /// dropped and counted.
    async fn send_batches(
        &self,
        client: &PeerClient,
        peer: &str,
        delivered: &mut bool,
    ) -> Result<()> {
        loop {
            let batch = self.queue.pop_batch().await;
            let count = u64::try_from(batch.len()).unwrap_or(u64::MAX);
            let result = deliver(client, batch).await;
            if result.is_err() {
                self.observer.on_dropped(count);
            }
            result.context(RpcSnafu {
                step: "deliver",
                peer,
            })?;
            *delivered = true;
        }
    }
}

/// Sends a batch in one RPC and returns how many messages the receiver could decode.
async fn deliver(
    client: &PeerClient,
    batch: Vec<PeerMessage>,
) -> std::result::Result<u32, client::RpcError> {
    let messages = batch.iter().map(From::from).collect();
    let mut cx = context::current();
    cx.deadline = Instant::now() + RPC_TIMEOUT;
    client.deliver(cx, messages).await
}
