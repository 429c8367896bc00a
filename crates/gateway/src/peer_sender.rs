//! Sends datagrams to other routers.

use std::net::SocketAddr;

use crate::context::Context;
use crate::peer_message::PeerMessage;
use crate::process_event::log_failure;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;

impl Context {
    /// Sends a datagram to another router.
    pub async fn send_to_peer(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(bytes) = encode(message) {
            self.send_bytes_to_peer(address, &bytes).await;
        }
    }

    /// Sends a datagram to another router without waiting for room in the socket's buffer.
    pub fn try_send_to_peer(&self, address: SocketAddr, message: &PeerMessage) {
        let Some(bytes) = encode(message) else {
            return;
        };
        if let Err(e) = self.peer_socket.try_send_to(&bytes, address) {
            log_peer_failure(Step::GossipSend, &address, &e);
        }
    }

    /// Sends an encoded datagram to another router.
    pub async fn send_bytes_to_peer(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.peer_socket.send_to(bytes, address).await {
            log_peer_failure(Step::GossipSend, &address, &e);
        }
    }
}

/// Returns the bytes of a message; none, and a line in the log, if it can't be encoded.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log_failure(Step::Gossip, &e);
            None
        }
    }
}
