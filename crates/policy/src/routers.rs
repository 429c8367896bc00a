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

/// Routers that are remembered once they have left the list.
const DEPARTED: usize = 1_000;

/// The routers on the membership list, without this one.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    by_vm: BTreeMap<String, Router>,
    /// Routers that left the list. One that restarts is heard before it is on
    /// the list again, and has to be answered.
    departed: BTreeMap<String, Router>,
}

impl Routers {
    /// Takes the membership list in.
    pub(crate) fn on_members(&mut self, own_vm: &str, members: &[Member]) {
        let listed = members
            .iter()
            .filter(|m| m.role == MemberRole::Router && m.name != own_vm)
            .map(|m| (m.name.clone(), Router::from(m)))
            .collect();
        let before = std::mem::replace(&mut self.by_vm, listed);
        self.departed.extend(before);
        self.departed.retain(|vm, _| !self.by_vm.contains_key(vm));
        while self.departed.len() > DEPARTED {
            self.departed.pop_first();
        }
    }

    /// Returns the router on this VM, or the one that was there last.
    pub(crate) fn get(&self, vm: &str) -> Option<&Router> {
        self.by_vm.get(vm).or_else(|| self.departed.get(vm))
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
