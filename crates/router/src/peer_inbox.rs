//! Hands messages of other routers to the node.

use peer::Inbox;
use policy::Event;
use policy::PeerMessage;

use crate::NodeHandle;

/// Hands messages of other routers to the node.
pub struct PeerInbox(pub NodeHandle);

impl Inbox for PeerInbox {
    fn receive(&self, from: &str, message: PeerMessage) {
        self.0.event(Event::Peer {
            from: from.to_owned(),
            message,
        });
    }
}
