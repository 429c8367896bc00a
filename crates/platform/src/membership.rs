//! Interface of the membership list, which names all VMs.

use std::net::SocketAddr;

use futures::future::BoxFuture;

use crate::Result;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Runs a router of this system.
    Router,
    /// Runs a backend server.
    BackendServer,
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Role of the VM.
    pub role: Role,
    /// Address at which other VMs reach it; for a router, the address for other routers.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Incarnation, which increases with each start of the process.
    pub incarnation: u64,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// Snapshot of the membership list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Version of the list.
    pub version: u64,
    /// VMs on the list.
    pub members: Vec<Member>,
}

/// Client of the platform's membership list, which is eventually consistent: it
/// shows starts and exits of VMs with a delay.
pub trait MembershipList: Send + Sync {
    /// Long poll: waits until the version of the list differs from `seen`, at most
    /// `wait_ms` milliseconds, and returns the list.
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>>;

    /// Adds a VM to the list or updates its record.
    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>>;
}
