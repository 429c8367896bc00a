//! What one router knows of the configuration, backend servers, weights and peers.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use policy::Arrival;
use policy::Time;
use relay::restored_by;
use relay::Build;
use relay::BuildRecords;
use relay::CatchUp;
use relay::Configuration;
use relay::CrashEvidence;
use relay::EraStart;
use relay::Fleet;
use relay::OrderLease;
use relay::OrderPlan;
use relay::PeerReadings;
use relay::PermitIssuer;
use relay::PlaceIssuer;
use relay::Reach;
use relay::Reading;
use relay::RequestQueue;
use relay::Residency;
use relay::RetryBudget;
use relay::Revision;
use relay::StoreInterruption;
use relay::StreamOrigins;
use relay::UnsettledEnds;
use relay::Weights;

use crate::clock::now;
use crate::settings::Settings;

/// Allowance for network and engine queue between the dispatch of a request and
/// its start on the engine, in milliseconds.
const START_MARGIN_MS: u64 = 1_000;

/// Time from the start of a router for which it may use replaced weights without knowing since when
/// they are replaced, in milliseconds. Listings don't contain that time, but messages of routers that
/// were there before do.
const UNKNOWN_WEIGHTS_DUE_MS: u64 = 2_500;

/// Time that a stream can last, in milliseconds.
pub const MAX_STREAM_MS: u64 = 30_000;

/// What one router knows of the configuration, backend servers, weights and peers.
pub struct ClusterView {
    /// Configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// When that configuration was put in force; the start of the router before the first.
    pub configuration_since: Time,
    /// What this router does to get a newer configuration that others have.
    pub catch_up: CatchUp,
    /// Announced versions of each model's weights.
    pub weights: Weights,
    /// Backend servers and the load on each.
    pub fleet: Fleet,
    /// Whether this router reads the registrations of backend servers from the store itself.
    pub reads_registrations: bool,
    /// Which backend servers this router can't connect to although others reach them.
    pub reach: Reach,
    /// Announcements of the routers that read the registrations.
    pub peer_readings: PeerReadings,
    /// Whether the list of routers was read from the store at least once.
    pub routers_known: bool,
    /// Latest era of the store, see [`Revision`]; none while unknown.
    pub store_era: Option<u64>,
    /// When that era was noticed, and whether it was the first.
    pub era_start: EraStart,
    /// Time up to which the store was last unreachable to this router for so long that registrations
    /// of live servers may have lapsed; 0 for never.
    pub store_unreachable_until: Time,
    /// When it was last lost.
    pub store_lost_at: Time,
    /// Last interruption of this router's calls to the store.
    pub store_interruption: StoreInterruption,
    /// Time since which this router would know of an outage of the store: its start, or an
    /// earlier time that another router reported.
    pub knows_outages_since: Time,
    /// When the store last responded to a listing or watch; the start of the router before
    /// the first response.
    pub store_responded_at: Time,
    /// Whether the last listing or watch of the store failed.
    pub store_failing: bool,
    /// Which engines cache which prompt parts.
    pub residency: Residency,
    /// What is known of requests that may crash backend servers.
    pub crash_evidence: CrashEvidence,
    /// Ends of attempts that are evidence only with what their backend server does next.
    pub unsettled: UnsettledEnds,
    /// Retry budgets, by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Requests that wait for room, by service.
    pub queues: HashMap<Arc<str>, RequestQueue>,
    /// Revision of the order lease's record; none while no router holds the lease.
    pub order_lease_revision: Option<Revision>,
    /// Records of builds in the store.
    pub build_records: BuildRecords,
    /// Builds at which streams began.
    pub stream_origins: StreamOrigins,
    /// From when on this router knows all servers that there were: its start, or any time if the
    /// whole system started with it.
    pub history_from: Time,
    /// Issues permits for limited backend servers, where this router is the issuer.
    pub permit_issuer: PermitIssuer,
    /// Grants places in backend servers that stand few rejections, where this router is the issuer.
    pub place_issuer: PlaceIssuer,
    /// What this router knows of its order lease.
    pub order_lease: OrderLease,
    /// Orders given and due in that lease term.
    pub order_plan: OrderPlan,
}

impl ClusterView {
    /// Returns the empty view of a router that has just started.
    pub fn new(settings: &Settings) -> ClusterView {
        let mut fleet = Fleet::new(settings.heartbeat_ms);
        fleet.learn_paces(settings.learn_server_pace);
        let due_ms = settings.weights_due_ms.saturating_sub(START_MARGIN_MS);
        ClusterView {
            configuration: None,
            configuration_since: now(),
            catch_up: CatchUp::default(),
            weights: Weights::new(due_ms, now().plus_millis(UNKNOWN_WEIGHTS_DUE_MS)),
            fleet,
            reads_registrations: false,
            reach: Reach::default(),
            peer_readings: PeerReadings::default(),
            routers_known: false,
            store_era: None,
            era_start: EraStart::default(),
            store_unreachable_until: Time(0),
            store_lost_at: Time(0),
            store_interruption: StoreInterruption::new(now(), settings.heartbeat_ms),
            knows_outages_since: now(),
            store_responded_at: now(),
            store_failing: false,
            residency: Residency::default(),
            crash_evidence: CrashEvidence::default(),
            unsettled: UnsettledEnds::default(),
            budgets: HashMap::new(),
            queues: HashMap::new(),
            order_lease_revision: None,
            build_records: BuildRecords::default(),
            stream_origins: StreamOrigins::default(),
            history_from: if settings.first_start { Time(0) } else { now() },
            permit_issuer: PermitIssuer::default(),
            place_issuer: PlaceIssuer::default(),
            order_lease: OrderLease::default(),
            order_plan: OrderPlan::default(),
        }
    }

    /// Records that a call to the store failed. Returns whether it is the first one to fail.
    pub fn record_store_failure(&mut self, now: Time) -> bool {
        let is_first = !std::mem::replace(&mut self.store_failing, true);
        if is_first {
            self.store_lost_at = now;
            // Another router may have read the store later than this one.
            let read_at = self.fleet.reading().map(|reading| reading.read_at);
            let responded_at = self.store_responded_at.max(read_at.unwrap_or(Time(0)));
            self.store_interruption.begin(responded_at);
        }
        self.extend_outage(now);
        is_first
    }

    /// Records that the store, or a hub that reads it, had a response at `responded_at`. Returns
    /// whether calls failed before.
    pub fn record_store_response(&mut self, now: Time, responded_at: Time) -> bool {
        let is_regained = std::mem::replace(&mut self.store_failing, false);
        if is_regained {
            self.extend_outage(now);
            self.store_interruption.end(now);
        }
        self.store_responded_at = self.store_responded_at.max(responded_at);
        is_regained
    }

    fn extend_outage(&mut self, now: Time) {
        if self.store_interruption.may_lapse(now) {
            self.store_unreachable_until = now;
        }
    }

    /// Returns the end of the store's last outage, as far as this router knows. If another router
    /// read the store meanwhile, only this one was cut off, and the store lost nothing.
    pub fn store_outage_until(&self, now: Time) -> Time {
        let own = self.store_unreachable_until;
        let peers = self.peer_readings.outage_until(now, self.store_lost_at);
        peers.map_or(own, |peers| peers.min(own))
    }

    /// Returns the reading of registrations that arrive in a response of the store, and remembers
    /// what other routers know of outages.
    pub fn new_reading(&mut self, response: Arrival, as_of: Revision) -> Reading {
        let now = response.latest();
        self.store_unreachable_until = self.store_outage_until(now);
        if let Some(peers) = self.peer_readings.outage_until(now, Time(0)) {
            self.knows_outages_since = self.knows_outages_since.min(peers);
        }
        Reading {
            as_of,
            read_at: response.earliest(),
            outage_until: self.store_unreachable_until,
            outages_known_since: Time(0),
        }
    }

    /// Returns the reading of the registrations for other routers; none before the first. For
    /// them, an outage may have ended just before this router started.
    pub fn announced_reading(&self) -> Option<Reading> {
        let reading = self.fleet.reading()?;
        Some(Reading {
            outages_known_since: reading.outages_known_since.max(self.knows_outages_since),
            ..reading
        })
    }

    /// Returns whether the registrations are recent, and have been known for `ms` milliseconds.
    pub fn is_history_known(&self, now: Time, ms: u64) -> bool {
        let reading = self.fleet.reading();
        reading.is_some_and(|reading| reading.is_fresh(now))
            && now.millis_since(self.history_from) >= ms
    }

    /// Returns the builds that servers of some services have, or had lately.
    pub fn builds(&self, now: Time, services: &[Arc<str>]) -> Vec<Build> {
        let services = services.iter();
        let mut builds: Vec<Build> = services
            .flat_map(|service| self.fleet.builds(now, service))
            .collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    /// Returns whether all builds are known that some services have had for as long as a stream can
    /// last: this router has seen their servers for so long, or the store's records of builds prove
    /// that there was one only.
    pub fn are_builds_known(&self, now: Time, services: &[Arc<str>]) -> bool {
        if self.is_history_known(now, MAX_STREAM_MS) {
            return true;
        }
        let is_fresh = self.fleet.reading().is_some_and(|r| r.is_fresh(now));
        is_fresh && self.proven_build(now, services).is_some()
    }

    /// Returns the only build that some services have had for as long as a stream can last, if the
    /// store's records of builds prove it and this router has seen no other.
    pub fn proven_build(&self, now: Time, services: &[Arc<str>]) -> Option<Build> {
        let builds = self.builds(now, services);
        let [only] = builds[..] else {
            return None;
        };
        let is_proven = |service: &Arc<str>| {
            let records = &self.build_records;
            match records.only(service) {
                Some(build) => build == only,
                None => !records.has_any(service) && self.fleet.builds(now, service).is_empty(),
            }
        };
        services.iter().all(is_proven).then_some(only)
    }

    /// Returns whether a router that reads the store itself must list the registrations: in a new
    /// era, and once the platform has restored those that are not missing for good.
    pub fn must_list_registrations(&self, now: Time) -> bool {
        let is_of_earlier_era = self
            .fleet
            .reading()
            .is_some_and(|reading| Some(reading.as_of.era) < self.store_era);
        let is_restored = restored_by(self.store_outage_until(now)) <= now;
        is_of_earlier_era || (self.fleet.has_missing() && is_restored)
    }
}
