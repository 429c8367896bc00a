//! Description of this router for others.

use std::net::SocketAddr;

use peer::Introduction;
use platform::Member;
use platform::Role;
use platform::RouterStatus;
use policy::Identity;

use crate::clock;
use crate::Ports;
use crate::Settings;

/// Description of this router, in the types of its node, its peers and the platform.
pub struct SelfDescription {
    vm: String,
    region: String,
    failure_domain: String,
    address: SocketAddr,
    peer_address: SocketAddr,
    incarnation: u64,
}

impl SelfDescription {
    /// Describes a router that starts now. Its incarnation is the start time, in microseconds since
    /// the Unix epoch.
    pub fn new(settings: &Settings, ports: &Ports) -> SelfDescription {
        SelfDescription {
            vm: settings.vm.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            address: ports.address,
            peer_address: ports.peer_address,
            incarnation: clock::now().0,
        }
    }

    /// Returns the identity for the node.
    pub fn identity(&self) -> Identity {
        Identity {
            vm: self.vm.clone(),
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the introduction to other routers.
    pub fn introduction(&self) -> Introduction {
        Introduction {
            vm: self.vm.clone(),
            address: self.peer_address,
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the entry for the membership list.
    pub fn member(&self) -> Member {
        Member {
            name: self.vm.clone(),
            role: Role::Router,
            address: self.peer_address,
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
            leaving: false,
        }
    }

    /// Returns the status to publish before a configuration is in force.
    pub fn status(&self) -> RouterStatus {
        RouterStatus {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            address: self.address,
            version: 0,
            leaving: false,
        }
    }
}
