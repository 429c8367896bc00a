//! What routers tell each other several times a second.

use std::collections::HashSet;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Fleet;
use crate::Load;
use crate::PartKey;
use crate::Residency;
use crate::Strike;
use crate::Transfer;

/// A router's requests at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Mark of the backend server.
    pub server: u64,
    /// Requests.
    pub requests: u32,
    /// Time to read their prompts, as far as they wait for that, in milliseconds.
    pub reading_ms: u64,
}

/// A part that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// Key of the part.
    pub part: u64,
    /// Mark of the engine.
    pub server: u64,
    /// What happens to it at a store meanwhile.
    pub transfer: Option<Transfer>,
}

/// An engine that takes new weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchUpdate {
    /// Mark of the engine.
    pub server: u64,
    /// Model.
    pub model: String,
    /// Version of its weights; an engine that has them is done.
    pub version: u64,
    /// For how long it is expected to turn requests away, in milliseconds.
    pub for_ms: u32,
}

/// Weights that an engine has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUpdate {
    /// Mark of the engine.
    pub server: u64,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
}

/// The registrations that a router has read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Hash of all lifetimes and their states.
    pub digest: u64,
    /// Position of the store's history up to which they were read.
    pub as_of: u64,
    /// Time since they were read, in milliseconds.
    pub age_ms: u32,
}

/// A version of a model's weights that was named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementUpdate {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// For how long it is known, in milliseconds.
    pub age_ms: u64,
}

/// One message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Mark of the router that speaks.
    pub from: u64,
    /// Region whose routers' loads these are in sum; none for its own alone.
    pub region: Option<u64>,
    /// Version of its configuration.
    pub configuration: u64,
    /// Registrations, if it reads them from the store itself.
    pub fleet: Option<FleetUpdate>,
    /// Versions of weights that were named.
    pub named: Vec<AnnouncementUpdate>,
    /// Its requests; none at backend servers that aren't listed.
    pub loads: Vec<LoadUpdate>,
    /// Parts that it has sent to engines since its last message.
    pub parts: Vec<PartUpdate>,
    /// Engines that it has ordered to take new weights.
    pub switches: Vec<SwitchUpdate>,
    /// Weights that it has seen lately.
    pub weights: Vec<WeightsUpdate>,
    /// Requests that ran on backend servers which broke off.
    pub strikes: Vec<Strike>,
}

impl Gossip {
    /// Takes a message into what this router believes of the fleet. `own` is this
    /// router's part of the loads, if they are the sum of its own region.
    pub fn apply(
        &self,
        now: Time,
        fleet: &mut Fleet,
        residency: &mut Residency,
        own: Option<&[LoadUpdate]>,
    ) {
        self.apply_loads(now, fleet, own.unwrap_or_default());
        for told in &self.parts {
            if let Some(key) = fleet.by_instance_hash(told.server) {
                residency.record(now, PartKey(told.part), key, told.transfer);
            }
        }
        for told in &self.switches {
            let key = fleet.by_instance_hash(told.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                let until = now.plus_millis(u64::from(told.for_ms));
                server.expect_switch(&told.model, told.version, until);
            }
        }
        for told in &self.weights {
            let key = fleet.by_instance_hash(told.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                if server.record_weights(&told.model, told.version) {
                    server.switching_until = now;
                }
            }
        }
    }

    fn apply_loads(&self, now: Time, fleet: &mut Fleet, own: &[LoadUpdate]) {
        let source = self.region.unwrap_or(self.from);
        let told: HashSet<u64> = self.loads.iter().map(|load| load.server).collect();
        for told in &self.loads {
            let mine = own.iter().find(|own| own.server == told.server);
            let mine = mine.map_or(Load::default(), |own| Load {
                requests: own.requests,
                reading_ms: own.reading_ms,
            });
            let load = Load {
                requests: told.requests.saturating_sub(mine.requests),
                reading_ms: told.reading_ms.saturating_sub(mine.reading_ms),
            };
            let key = fleet.by_instance_hash(told.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                server.set_other_load(now, source, load);
            }
        }
        fleet.clear_other_load(source, |instance_hash| told.contains(&instance_hash));
    }
}
