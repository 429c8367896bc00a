//! The other routers, from the membership list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Incarnation;
use crate::Member;
use crate::MemberRole;

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Router {
    pub(crate) address: SocketAddr,
    pub(crate) region: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
}

/// The routers on the membership list, without this one.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    by_vm: BTreeMap<String, Router>,
}

impl Routers {
    /// Takes the membership list in.
    pub(crate) fn on_members(&mut self, own_vm: &str, members: &[Member]) {
        self.by_vm = members
            .iter()
            .filter(|m| m.role == MemberRole::Router && m.name != own_vm)
            .map(|m| (m.name.clone(), Router::from(m)))
            .collect();
    }

    /// Returns the router on this VM.
    pub(crate) fn get(&self, vm: &str) -> Option<&Router> {
        self.by_vm.get(vm)
    }

    /// Returns the routers in the order of their VMs' names.
    pub(crate) fn iter(&self) -> std::collections::btree_map::Iter<'_, String, Router> {
        self.by_vm.iter()
    }

    /// Returns how many there are.
    pub(crate) fn len(&self) -> usize {
        self.by_vm.len()
    }
}

impl From<&Member> for Router {
    fn from(member: &Member) -> Router {
        Router {
            address: member.address,
            region: member.region.clone(),
            incarnation: member.incarnation,
            leaving: member.leaving,
        }
    }
}
