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
const SILENT_MS: u64 = 900;

/// Time for which a hub is passed over, in milliseconds.
const PASSED_OVER_MS: u64 = 4_000;

/// A router, as the others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Hash of its region.
    pub region: u64,
    /// What its VM can carry; the highest become hubs.
    pub capacity: u32,
}

#[derive(Clone, Copy, Debug)]
struct Chosen {
    hub: u64,
    last_sign: Time,
}

/// Routers by their marks, and whom this one speaks to.
#[derive(Clone, Debug)]
pub struct Topology {
    me: u64,
    members: BTreeMap<u64, Member>,
    /// Hub of each region, and of all together, as this router sees it.
    chosen: BTreeMap<Option<u64>, Chosen>,
    passed_over: BTreeMap<u64, Time>,
}

impl Topology {
    /// Begins with this router alone.
    pub fn new(me: u64, member: Member) -> Topology {
        Topology {
            me,
            members: BTreeMap::from([(me, member)]),
            chosen: BTreeMap::new(),
            passed_over: BTreeMap::new(),
        }
    }

    /// Adds a router.
    pub fn add(&mut self, mark: u64, member: Member) {
        self.members.insert(mark, member);
    }

    /// Removes a router.
    pub fn remove(&mut self, mark: u64) {
        if mark != self.me {
            self.members.remove(&mark);
        }
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Tells whether each router speaks to all others.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() <= DIRECT_ROUTERS
    }

    /// Returns the hash of this router's region.
    pub fn region(&self) -> u64 {
        self.members[&self.me].region
    }

    /// Tells whether a router is in this router's region.
    pub fn is_in_region(&self, mark: u64) -> bool {
        let member = self.members.get(&mark);
        member.is_some_and(|member| member.region == self.region())
    }

    /// Notes a message of a router.
    pub fn record_message(&mut self, now: Time, mark: u64) {
        self.passed_over.remove(&mark);
        for chosen in self.chosen.values_mut().filter(|c| c.hub == mark) {
            chosen.last_sign = now;
        }
    }

    /// Tells whether this router is the hub of its region.
    pub fn is_hub(&mut self, now: Time) -> bool {
        let region = Some(self.region());
        !self.is_full_mesh() && self.hub(now, region) == self.me
    }

    /// Returns the router that reads registrations for this one; maybe itself.
    pub fn registration_reader(&mut self, now: Time) -> u64 {
        let region = (!self.is_full_mesh()).then(|| self.region());
        self.hub(now, region)
    }

    /// Returns the routers to which this one speaks.
    pub fn recipients(&mut self, now: Time) -> Vec<u64> {
        let me = self.me;
        if self.is_full_mesh() {
            return self.members.keys().copied().filter(|m| *m != me).collect();
        }
        if !self.is_hub(now) {
            let region = Some(self.region());
            return vec![self.hub(now, region)];
        }
        let mut audience = self.region_peers();
        let region = self.region();
        let mut regions: Vec<u64> = self.members.values().map(|m| m.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for other in regions.into_iter().filter(|other| *other != region) {
            audience.push(self.hub(now, Some(other)));
        }
        audience
    }

    /// Returns the other routers of this router's region.
    pub fn region_peers(&self) -> Vec<u64> {
        let marks = self.members.keys().copied();
        marks
            .filter(|mark| *mark != self.me && self.is_in_region(*mark))
            .collect()
    }

    fn hub(&mut self, now: Time, region: Option<u64>) -> u64 {
        if let Some(chosen) = self.chosen.get(&region).copied() {
            let silent = now.millis_since(chosen.last_sign) > SILENT_MS;
            if chosen.hub != self.me && silent {
                let until = now.plus_millis(PASSED_OVER_MS);
                self.passed_over.insert(chosen.hub, until);
            }
        }
        self.passed_over.retain(|_, until| *until > now);
        let hub = self.first(region);
        let chosen = self.chosen.get(&region);
        if chosen.is_none_or(|chosen| chosen.hub != hub) {
            let last_sign = now;
            self.chosen.insert(region, Chosen { hub, last_sign });
        }
        hub
    }

    /// Returns the first router of a region, or of all, that isn't passed over; this one if there is none.
    fn first(&self, region: Option<u64>) -> u64 {
        let members = self.members.iter().filter(|(mark, member)| {
            let here = region.is_none_or(|region| member.region == region);
            here && !self.passed_over.contains_key(mark)
        });
        let first = members.max_by_key(|(mark, m)| {
            (
                m.capacity,
                policy::rendezvous_weight(region.unwrap_or_default(), **mark),
            )
        });
        first.map_or(self.me, |(mark, _)| *mark)
    }
}
