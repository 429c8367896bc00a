//! The membership list.

use std::net::SocketAddr;

use futures::future::BoxFuture;

use crate::Result;

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A VM of the system.
    Router,
    /// A backend server.
    BackendServer,
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Address at which other VMs reach it; of a router, its peers' port.
    pub address: SocketAddr,
    /// Region in which it stands.
    pub region: String,
    /// Failure domain in which it stands.
    pub failure_domain: String,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The membership list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Version of the list.
    pub version: u64,
    /// VMs on the list.
    pub members: Vec<Member>,
}

/// The platform's membership list; it lags behind the truth.
pub trait MembershipList: Send + Sync {
    /// Returns the list once its version differs from `seen`, or after `wait_ms`.
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>>;

    /// Enters or updates a VM on the list.
    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>>;
}
