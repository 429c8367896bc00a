//! Which routers speak to which.
//!
//! A few routers speak to all others. More of them speak through one hub in each
//! region: members tell their hub, hubs tell each other and their members, so
//! that the messages grow with the routers and not with their square. Every
//! router finds the same hubs by itself; one that falls silent is passed over.
//! Two hubs at once cost messages, never correctness.

use std::collections::BTreeMap;

use policy::Time;

/// Routers up to which each speaks to all others.
const DIRECT_ROUTERS: usize = 16;

/// Time after which a hub that says nothing is passed over, in milliseconds.
const HUB_TIMEOUT_MS: u64 = 900;

/// Time for which a hub is passed over, in milliseconds.
const HUB_EXCLUSION_MS: u64 = 4_000;

/// A router, as the others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Hash of its region.
    pub region: u64,
    /// What its VM can carry; the highest become hubs.
    pub capacity: u32,
}

#[derive(Clone, Copy, Debug)]
struct ChosenHub {
    hub: u64,
    last_message_at: Time,
}

/// Routers by their marks, and whom this one speaks to.
#[derive(Clone, Debug)]
pub struct Topology {
    me: u64,
    members: BTreeMap<u64, Member>,
    /// Hub of each region, and of all together, as this router sees it.
    chosen: BTreeMap<Option<u64>, ChosenHub>,
    excluded_until: BTreeMap<u64, Time>,
}

impl Topology {
    /// Begins with this router alone.
    pub fn new(me: u64, member: Member) -> Topology {
        Topology {
            me,
            members: BTreeMap::from([(me, member)]),
            chosen: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
        }
    }

    /// Adds a router.
    pub fn add(&mut self, router: u64, member: Member) {
        self.members.insert(router, member);
    }

    /// Removes a router.
    pub fn remove(&mut self, router: u64) {
        if router != self.me {
            self.members.remove(&router);
        }
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Tells whether each router speaks to all others.
    pub fn is_direct(&self) -> bool {
        self.members.len() <= DIRECT_ROUTERS
    }

    /// Returns the hash of this router's region.
    pub fn region(&self) -> u64 {
        self.members[&self.me].region
    }

    /// Tells whether a router is in this router's region.
    pub fn is_near(&self, router: u64) -> bool {
        let member = self.members.get(&router);
        member.is_some_and(|member| member.region == self.region())
    }

    /// Notes a message of a router.
    pub fn heard(&mut self, now: Time, router: u64) {
        self.excluded_until.remove(&router);
        for chosen in self.chosen.values_mut().filter(|c| c.hub == router) {
            chosen.last_message_at = now;
        }
    }

    /// Tells whether this router is the hub of its region.
    pub fn is_hub(&mut self, now: Time) -> bool {
        let region = Some(self.region());
        !self.is_direct() && self.hub(now, region) == self.me
    }

    /// Returns the router that reads registrations for this one; maybe itself.
    pub fn reader(&mut self, now: Time) -> u64 {
        let region = (!self.is_direct()).then(|| self.region());
        self.hub(now, region)
    }

    /// Returns the routers to which this one speaks.
    pub fn audience(&mut self, now: Time) -> Vec<u64> {
        let me = self.me;
        if self.is_direct() {
            return self.members.keys().copied().filter(|m| *m != me).collect();
        }
        if !self.is_hub(now) {
            let region = Some(self.region());
            return vec![self.hub(now, region)];
        }
        let mut recipients = self.near();
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
    pub fn near(&self) -> Vec<u64> {
        let routers = self.members.keys().copied();
        routers
            .filter(|router| *router != self.me && self.is_near(*router))
            .collect()
    }

    fn hub(&mut self, now: Time, region: Option<u64>) -> u64 {
        if let Some(chosen) = self.chosen.get(&region).copied() {
            let is_unresponsive = now.millis_since(chosen.last_message_at) > HUB_TIMEOUT_MS;
            if chosen.hub != self.me && is_unresponsive {
                let until = now.plus_millis(HUB_EXCLUSION_MS);
                self.excluded_until.insert(chosen.hub, until);
            }
        }
        self.excluded_until.retain(|_, until| *until > now);
        let hub = self.preferred_hub(region);
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

    /// Returns the first router of a region, or of all, that isn't passed over; this one if there is none.
    fn preferred_hub(&self, region: Option<u64>) -> u64 {
        let members = self.members.iter().filter(|(router, member)| {
            let in_region = region.is_none_or(|region| member.region == region);
            in_region && !self.excluded_until.contains_key(router)
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
