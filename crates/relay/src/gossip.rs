//! Messages that routers send each other several times a second.

use std::collections::HashSet;

use policy::age_ms;
use policy::time_of;
use policy::Time;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::AnnouncementUpdate;
use crate::BackendServer;
use crate::CompletenessUpdate;
use crate::Fleet;
use crate::Load;
use crate::PaceUpdate;
use crate::PartKey;
use crate::ReadingUpdate;
use crate::RejectionsUpdate;
use crate::Residency;
use crate::Responses;
use crate::ServerStatement;
use crate::SuspectUpdate;
use crate::Transfer;

/// Load of one backend server, as counted by one router or one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Instance hash of the backend server.
    pub server: u64,
    /// Number of requests in flight.
    pub requests: u32,
    /// Estimated prefill time outstanding for them, in milliseconds.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: u64,
    /// Time since it last responded, in milliseconds; none if it has not done so lately.
    pub responded_ms: Option<u32>,
    /// Time for which requests have been awaiting a response or failing without one, in
    /// milliseconds; none if none is.
    pub silent_ms: Option<u32>,
    /// What was learned of its pace; none if paces aren't learned. Sent in [`Gossip::paces`], so
    /// that routers that don't know it can read the rest.
    #[serde(skip)]
    pub pace: Option<PaceUpdate>,
}

impl LoadUpdate {
    /// Returns the update about a backend server, with the requests of this router and of
    /// the routers for which `counts` is true; none if there is nothing to report.
    pub fn new<F>(now: Time, server: &BackendServer, counts: F) -> Option<LoadUpdate>
    where
        F: Fn(u64) -> bool,
    {
        let load = server.load_with(now, &counts);
        let responses = server.responses_with(now, &counts);
        let update = LoadUpdate {
            server: server.instance_hash,
            requests: load.requests,
            prefill_ms: load.prefill_ms,
            responded_ms: responses.responded_at.map(|at| age_ms(now, at)),
            silent_ms: responses.silent_since.map(|at| age_ms(now, at)),
            pace: None,
        };
        (load.requests > 0 || responses != Responses::default()).then_some(update)
    }

    /// Adds what the same routers have learned of the server's pace.
    #[must_use]
    pub fn with_pace<F>(self, now: Time, server: &BackendServer, counts: F) -> LoadUpdate
    where
        F: Fn(u64) -> bool,
    {
        LoadUpdate {
            pace: Some(server.pace.update(now, counts)),
            ..self
        }
    }

    /// Returns the reported responses, as of `now`.
    fn responses(&self, now: Time) -> Responses {
        Responses {
            responded_at: self.responded_ms.map(|age_ms| time_of(now, age_ms)),
            silent_since: self.silent_ms.map(|age_ms| time_of(now, age_ms)),
        }
    }
}

/// Update: a prompt part was sent to an engine, which is expected to cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// Key of the part, as in `PartKey`.
    pub part: u64,
    /// Instance hash of the engine.
    pub server: u64,
    /// Transfer between the engine and a prefix store, if any.
    pub transfer: Option<Transfer>,
}

/// Update: an engine is about to load new weights, or loads them already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchUpdate {
    /// Instance hash of the engine.
    pub server: u64,
    /// Name of the model.
    pub model: String,
    /// Version of the weights. An engine that has it is done.
    pub version: u64,
    /// Time for which the engine is expected to reject requests, in milliseconds.
    pub for_ms: u32,
}

/// Update: an engine was seen to have a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUpdate {
    /// Instance hash of the engine.
    pub server: u64,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// State of the registrations that a router has read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Hash of all incarnations and their states, see `Fleet::digest`.
    pub digest: u64,
    /// Up to where and when they were read.
    pub reading: ReadingUpdate,
}

/// One gossip message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Hash of the name of the router that sends the message.
    pub from: u64,
    /// Hash of the region whose routers' loads are summed up in `loads`; none if the
    /// loads are the sender's alone.
    pub region: Option<u64>,
    /// Latest era of the store that the sender knows, see [`Revision`](crate::Revision).
    pub era: Option<u64>,
    /// Version of the sender's configuration.
    pub configuration: u64,
    /// State of the registrations, if the sender reads them from the store itself.
    pub fleet: Option<FleetUpdate>,
    /// Newest announced versions of weights.
    pub named: Vec<AnnouncementUpdate>,
    /// Loads of backend servers with requests in flight, and of those that responded or
    /// failed lately; the others have none.
    pub loads: Vec<LoadUpdate>,
    /// Parts that were recently sent to engines.
    pub parts: Vec<PartUpdate>,
    /// Engines that are about to load new weights or load them already.
    pub switches: Vec<SwitchUpdate>,
    /// Versions of weights that engines were recently seen to have.
    pub weights: Vec<WeightsUpdate>,
    /// What the sender knows of suspects.
    pub suspects: Vec<SuspectUpdate>,
    /// Instance hashes of incarnations that were recently found to be over.
    pub ended: Vec<u64>,
    /// What backend servers have said of themselves in responses.
    pub statements: Vec<ServerStatement>,
    /// Hash of the registered routers, if the sender reads them from the store itself.
    pub routers: Option<u64>,
    /// What was learned of the paces of the servers in `loads`, in the same order; empty if paces
    /// aren't learned. Messages of older routers end before it.
    #[serde(deserialize_with = "or_default")]
    pub paces: Vec<PaceUpdate>,
    /// Backend servers that rejected requests in a row, or lately ended such a row. Routers of
    /// earlier versions don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub rejections: Vec<RejectionsUpdate>,
    /// Number of routers whose requests `loads` counts; 0 if unknown, as from earlier versions.
    #[serde(deserialize_with = "or_default")]
    pub counted_routers: u32,
    /// Up to when `named` was complete, as the sender has read from the store, and as others have;
    /// empty from earlier versions.
    #[serde(deserialize_with = "or_default")]
    pub completeness: Vec<CompletenessUpdate>,
}

/// Reads one of the last fields of a message; its default if the message ends before it.
fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl Gossip {
    /// Applies a message to this router's view of the cluster. If the loads are the sum
    /// of this router's own region, `own` is this router's share of them, which is
    /// subtracted so that it isn't counted twice.
    pub fn apply(
        &self,
        now: Time,
        fleet: &mut Fleet,
        residency: &mut Residency,
        own: Option<&[LoadUpdate]>,
    ) {
        self.apply_loads(now, fleet, own.unwrap_or_default());
        self.apply_paces(now, fleet);
        for update in &self.parts {
            if let Some(key) = fleet.by_instance_hash(update.server) {
                residency.record(now, PartKey(update.part), key, update.transfer);
            }
        }
        for update in &self.switches {
            let key = fleet.by_instance_hash(update.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                let until = now.plus_millis(u64::from(update.for_ms));
                server.expect_switch(&update.model, update.version, until);
            }
        }
        for ended in &self.ended {
            if let Some(key) = fleet.by_instance_hash(*ended) {
                fleet.mark_ended(now, key);
            }
        }
        for update in &self.weights {
            let key = fleet.by_instance_hash(update.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                if server.record_weights(&update.model, update.version) {
                    server.switching_until = now;
                }
            }
        }
    }

    /// Applies what others have learned. A region's means contain this router's own ends too, which
    /// then count twice; that changes the mean little, as a region has many routers.
    fn apply_paces(&self, now: Time, fleet: &mut Fleet) {
        let source = self.region.unwrap_or(self.from);
        for (load, pace) in self.loads.iter().zip(&self.paces) {
            fleet.record_other_pace(now, source, load.server, pace);
        }
        fleet.refresh_paces(now);
    }

    fn apply_loads(&self, now: Time, fleet: &mut Fleet, own: &[LoadUpdate]) {
        let source = self.region.unwrap_or(self.from);
        fleet.reporters.record(now, source, self.counted_routers);
        let reported: HashSet<u64> = self.loads.iter().map(|load| load.server).collect();
        for update in &self.loads {
            let own_load = own.iter().find(|own| own.server == update.server);
            let own_load = own_load.map_or(Load::default(), |own| Load {
                requests: own.requests,
                prefill_ms: own.prefill_ms,
            });
            let load = Load {
                requests: update.requests.saturating_sub(own_load.requests),
                prefill_ms: update.prefill_ms.saturating_sub(own_load.prefill_ms),
            };
            let key = fleet.by_instance_hash(update.server);
            if let Some(server) = key.and_then(|key| fleet.get_mut(key)) {
                server.set_other_report(now, source, load, update.responses(now));
            }
        }
        fleet.clear_other_reports(source, |instance_hash| reported.contains(&instance_hash));
    }
}
