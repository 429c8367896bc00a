//! A router's entry in the list of live routers.

use std::net::SocketAddr;

use relay::Member;
use serde::Deserialize;
use serde::Serialize;

/// A live router, as routers describe it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Name of the router.
    pub name: String,
    /// Address of its pages for other routers and of its gossip.
    pub address: SocketAddr,
    /// Its entry in the gossip topology.
    pub member: Member,
}

impl RouterEntry {
    /// Returns the hash of its name.
    pub fn hash(&self) -> u64 {
        policy::name_hash(&self.name)
    }

    /// Returns a hash of its name and address.
    pub fn digest(&self) -> u64 {
        policy::rendezvous_weight(self.hash(), policy::name_hash(&self.address.to_string()))
    }
}
