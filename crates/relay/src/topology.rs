//! Decides which routers exchange gossip with each other.
//!
//! Up to `DIRECT_ROUTERS` routers form a full mesh. A larger number uses one hub in each
//! region: members send to their hub, and hubs send to each other and to their members.
//! So the number of messages grows linearly with the number of routers instead of
//! quadratically. Every router determines the hubs by itself, and excludes an
//! unresponsive one for a while. Two hubs in a region at a time cost extra messages but
//! never correctness.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

/// Number of routers up to which all exchange messages directly.
const DIRECT_ROUTERS: usize = 16;

/// Time without a message after which a hub is excluded, in milliseconds.
const HUB_TIMEOUT_MS: u64 = 900;

/// Time for which an unresponsive hub is excluded, in milliseconds.
const HUB_EXCLUSION_MS: u64 = 4_000;

/// A router as the others know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Hash of the name of its region.
    pub region: u64,
    /// Configured capacity of its VM; the router with the highest becomes the hub.
    pub capacity: u32,
}

/// A hub that this router uses, and when it last sent a message.
#[derive(Clone, Copy, Debug)]
struct ChosenHub {
    hub: u64,
    last_message_at: Time,
}

/// All routers by the hash of their name, and the hubs that this router uses.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Hash of this router's name.
    me: u64,
    members: BTreeMap<u64, Member>,
    /// Hub of each region, and under `None` that of all routers.
    chosen: BTreeMap<Option<u64>, ChosenHub>,
    /// Hubs that were unresponsive, and the time until which they are excluded.
    excluded_until: BTreeMap<u64, Time>,
}

impl Topology {
    /// Creates a topology that consists of this router only.
    pub fn new(me: u64, member: Member) -> Topology {
        Topology {
            me,
            members: BTreeMap::from([(me, member)]),
            chosen: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
        }
    }

    /// Adds or replaces a router.
    pub fn add(&mut self, router: u64, member: Member) {
        self.members.insert(router, member);
    }

    /// Removes a router; this one is never removed.
    pub fn remove(&mut self, router: u64) {
        if router != self.me {
            self.members.remove(&router);
        }
    }

    /// Returns the number of routers, including this one.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns whether all routers exchange messages directly.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() <= DIRECT_ROUTERS
    }

    /// Returns the hash of the name of this router's region.
    pub fn region(&self) -> u64 {
        self.members[&self.me].region
    }

    /// Returns whether a router is in this router's region.
    pub fn is_in_region(&self, router: u64) -> bool {
        let member = self.members.get(&router);
        member.is_some_and(|member| member.region == self.region())
    }

    /// Returns the number of routers that come before this one in the order for `hash`.
    pub fn rank_for(&self, hash: u64) -> usize {
        let weight = |router: u64| policy::rendezvous_weight(hash, router);
        let own = weight(self.me);
        let routers = self.members.keys();
        routers.filter(|router| weight(**router) > own).count()
    }

    /// Records that a message of a router arrived.
    pub fn record_message(&mut self, now: Time, router: u64) {
        self.excluded_until.remove(&router);
        for chosen in self.chosen.values_mut().filter(|c| c.hub == router) {
            chosen.last_message_at = now;
        }
    }

    /// Returns whether this router is the hub of its region.
    pub fn is_hub(&mut self, now: Time) -> bool {
        let region = Some(self.region());
        !self.is_full_mesh() && self.hub(now, region) == self.me
    }

    /// Returns whether this router may give orders to engines: any in a full mesh, otherwise
    /// the one that follows the hub of its region. So losing the router that gives orders
    /// costs no region its hub.
    pub fn may_give_orders(&mut self, now: Time) -> bool {
        if self.is_full_mesh() {
            return true;
        }
        let region = Some(self.region());
        let hub = self.hub(now, region);
        self.preferred_hub(region, Some(hub)) == self.me
    }

    /// Returns the router that reads registrations from the store for this one; may be itself.
    pub fn registration_reader(&mut self, now: Time) -> u64 {
        let region = (!self.is_full_mesh()).then(|| self.region());
        self.hub(now, region)
    }

    /// Returns the router that issues permits for a backend server, by its instance hash and the
    /// hash of its region: in a full mesh one of those for which `is_reachable` is true, in that
    /// region if there is one, otherwise the hub of that region.
    pub fn permit_issuer<F>(&mut self, now: Time, region: u64, server: u64, is_reachable: F) -> u64
    where
        F: Fn(u64) -> bool,
    {
        let weight = |hash: u64| policy::rendezvous_weight(server, hash);
        if self.is_full_mesh() {
            let members = self.members.iter();
            let usable = members.filter(|(hash, _)| **hash == self.me || is_reachable(**hash));
            let issuer = usable.max_by_key(|(hash, m)| (m.region == region, weight(**hash)));
            return issuer.map_or(self.me, |(hash, _)| *hash);
        }
        let regions = self.members.values().map(|member| member.region);
        let region = regions.max_by_key(|other| (*other == region, weight(*other)));
        self.hub(now, region)
    }

    /// Returns up to `count` other routers for which `is_usable` is true, by rendezvous hashing of
    /// `hash`: the first of each region, then the rest.
    pub fn keepers<F>(&self, hash: u64, count: usize, is_usable: F) -> Vec<u64>
    where
        F: Fn(u64) -> bool,
    {
        self.first_by_region(hash, count, |router| router != self.me && is_usable(router))
    }

    /// Returns the routers, this one among them, that do something for all others, by rendezvous
    /// hashing of `hash` as in [`Topology::keepers`]. All routers that know the same ones agree.
    pub fn agents(&self, hash: u64, count: usize) -> Vec<u64> {
        self.first_by_region(hash, count, |_| true)
    }

    fn first_by_region<F>(&self, hash: u64, count: usize, is_usable: F) -> Vec<u64>
    where
        F: Fn(u64) -> bool,
    {
        let members = self.members.iter();
        let mut usable: Vec<(u64, u64)> = members
            .filter(|(router, _)| is_usable(**router))
            .map(|(router, member)| (*router, member.region))
            .collect();
        usable.sort_by_key(|(router, _)| Reverse(policy::rendezvous_weight(hash, *router)));
        let mut regions = BTreeSet::new();
        let (mut first, rest): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|(_, region)| regions.insert(*region));
        first.extend(rest);
        first.truncate(count);
        first.into_iter().map(|(router, _)| router).collect()
    }

    /// Returns all routers in the order in which they are to allocate quotas: those with the
    /// highest capacity first. Rendezvous hashing breaks ties.
    pub fn quota_candidates(&self) -> Vec<u64> {
        let mut members: Vec<(u64, u32)> = self
            .members
            .iter()
            .map(|(router, member)| (*router, member.capacity))
            .collect();
        members.sort_by_key(|(router, capacity)| {
            Reverse((*capacity, policy::rendezvous_weight(0, *router)))
        });
        members.into_iter().map(|(router, _)| router).collect()
    }

    /// Returns the routers to which this one sends its messages.
    pub fn recipients(&mut self, now: Time) -> Vec<u64> {
        let me = self.me;
        if self.is_full_mesh() {
            return self.members.keys().copied().filter(|m| *m != me).collect();
        }
        if !self.is_hub(now) {
            let region = Some(self.region());
            return vec![self.hub(now, region)];
        }
        let mut recipients = self.region_peers();
        let region = self.region();
        let mut regions: Vec<u64> = self.members.values().map(|m| m.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for other in regions.into_iter().filter(|other| *other != region) {
            recipients.push(self.hub(now, Some(other)));
        }
        recipients
    }

    /// Returns the other routers of this router's region.
    pub fn region_peers(&self) -> Vec<u64> {
        let routers = self.members.keys().copied();
        routers
            .filter(|router| *router != self.me && self.is_in_region(*router))
            .collect()
    }

    /// Returns the hub of a region, or of all routers. Excludes the current one if it is
    /// unresponsive.
    fn hub(&mut self, now: Time, region: Option<u64>) -> u64 {
        if let Some(chosen) = self.chosen.get(&region).copied() {
            let is_unresponsive = now.millis_since(chosen.last_message_at) > HUB_TIMEOUT_MS;
            if chosen.hub != self.me && is_unresponsive {
                let until = now.plus_millis(HUB_EXCLUSION_MS);
                self.excluded_until.insert(chosen.hub, until);
            }
        }
        self.excluded_until.retain(|_, until| *until > now);
        let hub = self.preferred_hub(region, None);
        let chosen = self.chosen.get(&region);
        if chosen.is_none_or(|chosen| chosen.hub != hub) {
            let last_message_at = now;
            self.chosen.insert(
                region,
                ChosenHub {
                    hub,
                    last_message_at,
                },
            );
        }
        hub
    }

    /// Returns the router of a region, or of all, with the highest capacity that is neither
    /// excluded nor `except`; this router if there is none. Rendezvous hashing breaks ties.
    fn preferred_hub(&self, region: Option<u64>, except: Option<u64>) -> u64 {
        let members = self.members.iter().filter(|(router, member)| {
            let in_region = region.is_none_or(|region| member.region == region);
            in_region && Some(**router) != except && !self.excluded_until.contains_key(router)
        });
        let first = members.max_by_key(|(router, m)| {
            (
                m.capacity,
                policy::rendezvous_weight(region.unwrap_or_default(), **router),
            )
        });
        first.map_or(self.me, |(router, _)| *router)
    }
}
