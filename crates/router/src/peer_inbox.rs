//! Passes messages of other routers to the node.

use peer::Inbox;
use peer::Introduction;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::PeerMessage;

use crate::NodeHandle;

/// Passes messages of other routers to the node.
pub struct PeerInbox(pub NodeHandle);

impl Inbox for PeerInbox {
    fn receive(&self, from: &Introduction, message: PeerMessage) {
        self.0.peer_message(member(from), message);
    }
}

fn member(from: &Introduction) -> Member {
    Member {
        name: from.vm.clone(),
        role: MemberRole::Router,
        address: from.address,
        region: from.region.clone(),
        failure_domain: from.failure_domain.clone(),
        incarnation: Incarnation(from.incarnation),
        leaving: false,
    }
}
