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

/// Maximum number of routers kept after they have left the membership list.
const MAX_DEPARTED: usize = 1_000;

/// The routers on the membership list, without this one.
#[derive(Debug, Default)]
pub(crate) struct Routers {
    by_vm: BTreeMap<String, Router>,
    /// Routers that have left the list. A restarted router sends messages
    /// before it is on the list again, and must receive responses.
    departed: BTreeMap<String, Router>,
}

impl Routers {
    /// Applies a new membership list.
    pub(crate) fn on_members(&mut self, own_vm: &str, members: &[Member]) {
        let listed = members
            .iter()
            .filter(|m| m.role == MemberRole::Router && m.name != own_vm)
            .map(|m| (m.name.clone(), Router::from(m)))
            .collect();
        let before = std::mem::replace(&mut self.by_vm, listed);
        self.departed.extend(before);
        self.departed.retain(|vm, _| !self.by_vm.contains_key(vm));
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
        }
    }

    /// Returns the router on this VM, or the last one that was there.
    pub(crate) fn get(&self, vm: &str) -> Option<&Router> {
        self.by_vm.get(vm).or_else(|| self.departed.get(vm))
    }

    /// Returns the routers on the list, ordered by VM name.
    pub(crate) fn iter(&self) -> std::collections::btree_map::Iter<'_, String, Router> {
        self.by_vm.iter()
    }

    /// Returns the number of routers on the list.
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
