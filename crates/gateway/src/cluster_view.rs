//! What one router knows of the configuration, backend servers, weights and peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use policy::Time;
use relay::Configuration;
use relay::Fleet;
use relay::FleetUpdate;
use relay::LeaseTerm;
use relay::OrderPlan;
use relay::Residency;
use relay::RetryBudget;
use relay::Strikes;
use relay::Weights;

use crate::clock::now;
use crate::settings::Settings;
use crate::store::Revision;

/// Age in milliseconds up to which registrations read by another router are used.
/// A router that starts reading the store itself at this age still stops sending
/// to a draining server in time.
const MAX_PEER_SYNC_AGE_MS: u64 = 1_700;

/// Allowance for network and engine queue between the dispatch of a request and
/// its start on the engine, in milliseconds.
const START_MARGIN_MS: u64 = 1_000;

/// Time for which replaced weights may still be used after this router has learned of
/// their replacement without knowing when it was announced, in milliseconds. Listings and
/// snapshots, which a router reads at its start, don't contain that time.
const EARLIER_WEIGHTS_DUE_MS: u64 = 2_500;

/// Progress of this router's own reading of the registrations in the store.
#[derive(Clone, Copy, Debug)]
pub struct OwnSync {
    /// Revision of the store up to which the registrations were read.
    pub as_of: Revision,
    /// When they were read.
    pub read_at: Time,
}

/// Progress of another router that reads the registrations on behalf of this one.
#[derive(Clone, Copy, Debug)]
pub struct PeerSync {
    /// Address of the router that reads them.
    pub reader: SocketAddr,
    /// Hash of the registrations that this router read.
    pub digest: u64,
    /// Revision of the store up to which it read them.
    pub as_of: Revision,
    /// When it read them.
    pub read_at: Time,
    /// Hash of the routers that it has read, see `Peers::digest`.
    pub routers: Option<u64>,
}

impl PeerSync {
    /// Converts the announcement of `reader`, received at `now`.
    pub fn new(
        now: Time,
        reader: SocketAddr,
        update: FleetUpdate,
        routers: Option<u64>,
    ) -> PeerSync {
        let age_us = u64::from(update.age_ms) * 1_000;
        PeerSync {
            reader,
            digest: update.digest,
            as_of: update.as_of,
            read_at: Time(now.0.saturating_sub(age_us)),
            routers,
        }
    }

    /// Returns whether the registrations were read recently enough to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.millis_since(self.read_at) < MAX_PEER_SYNC_AGE_MS
    }
}

/// What one router knows of the configuration, backend servers, weights and peers.
pub struct ClusterView {
    /// Configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// When that configuration was put in force; the start of the router before the first.
    pub configuration_since: Time,
    /// Announced versions of each model's weights.
    pub weights: Weights,
    /// Backend servers and the load on each.
    pub fleet: Fleet,
    /// Whether the registrations of backend servers were read at least once.
    pub fleet_known: bool,
    /// Whether the list of routers was read from the store at least once.
    pub routers_known: bool,
    /// Progress of this router's own reading of the registrations; none before the first,
    /// and while it relies on another router.
    pub own_sync: Option<OwnSync>,
    /// Latest announcement of a router that reads the registrations.
    pub peer_sync: Option<PeerSync>,
    /// Time up to which the store, or the network to it, was last unreachable; 0 for never.
    pub store_unreachable_until: Time,
    /// When the store last responded to a listing or watch; the start of the router before
    /// the first response.
    pub store_responded_at: Time,
    /// Whether the last listing or watch of the store failed.
    pub store_failing: bool,
    /// Which engines cache which prompt parts.
    pub residency: Residency,
    /// Strikes, by which requests that crash backend servers are found.
    pub strikes: Strikes,
    /// Retry budgets, by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Revision of the order lease's record; none while no router holds the lease.
    pub order_lease_revision: Option<Revision>,
    /// Term of the order lease, while this router holds it.
    pub lease_term: Option<LeaseTerm>,
    /// Orders given and due in that lease term.
    pub order_plan: OrderPlan,
}

impl ClusterView {
    /// Returns the empty view of a router that has just started.
    pub fn new(settings: &Settings) -> ClusterView {
        let due_ms = settings.weights_due_ms.saturating_sub(START_MARGIN_MS);
        ClusterView {
            configuration: None,
            configuration_since: now(),
            weights: Weights::new(due_ms, due_ms.min(EARLIER_WEIGHTS_DUE_MS)),
            fleet: Fleet::default(),
            fleet_known: false,
            routers_known: false,
            own_sync: None,
            peer_sync: None,
            store_unreachable_until: Time(0),
            store_responded_at: now(),
            store_failing: false,
            residency: Residency::default(),
            strikes: Strikes::default(),
            budgets: HashMap::new(),
            order_lease_revision: None,
            lease_term: None,
            order_plan: OrderPlan::default(),
        }
    }
}
