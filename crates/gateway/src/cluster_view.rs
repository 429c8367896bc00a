//! What one router knows of the configuration, backend servers, weights and peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use policy::Time;
use relay::Configuration;
use relay::Fleet;
use relay::Holdings;
use relay::OrderPlan;
use relay::SendBudget;
use relay::Strikes;
use relay::Tenure;
use relay::ToldFleet;
use relay::Weights;

use crate::clock::now;
use crate::settings::Settings;
use crate::store::Revision;

/// Age in milliseconds up to which registrations read by another router are used.
/// A router that starts reading the store itself at this age still stops sending
/// to a draining server in time.
const FOLLOWED_MS: u64 = 1_700;

/// Allowance for network and engine queue between the dispatch of a request and
/// its start on the engine, in milliseconds.
const WEIGHTS_MARGIN_MS: u64 = 1_000;

/// Time for which replaced weights may still be used after this router's start, in
/// milliseconds, as it can't know when the newest version was announced.
const EARLIER_WEIGHTS_DUE_MS: u64 = 2_500;

/// State of this router's own reading of the registrations in the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadRegistrations {
    /// Revision of the store up to which they were read.
    pub as_of: Revision,
    /// When they were read.
    pub read_at: Time,
}

/// State of the registrations that another router reads on behalf of this one.
#[derive(Clone, Copy, Debug)]
pub struct Followed {
    /// Address of the router that reads them.
    pub reader: SocketAddr,
    /// Hash of the registrations that it read.
    pub digest: u64,
    /// Revision of the store up to which it read them.
    pub as_of: Revision,
    /// When it read them.
    pub read_at: Time,
}

impl Followed {
    /// Converts the announcement of `reader`, received at `now`.
    pub fn new(now: Time, reader: SocketAddr, told: ToldFleet) -> Followed {
        let age_us = u64::from(told.age_ms) * 1_000;
        Followed {
            reader,
            digest: told.digest,
            as_of: told.as_of,
            read_at: Time(now.0.saturating_sub(age_us)),
        }
    }

    /// Returns whether they are recent enough to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.millis_since(self.read_at) < FOLLOWED_MS
    }
}

/// What one router knows of the configuration, backend servers, weights and peers.
pub struct Belief {
    /// Configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// When it was put in force.
    pub configuration_since: Time,
    /// Announced versions of each model's weights.
    pub weights: Weights,
    /// Backend servers and the load on each.
    pub fleet: Fleet,
    /// Whether the registrations of backend servers were read at least once.
    pub fleet_known: bool,
    /// Position of this router's own reading; none while it relies on another router.
    pub read_registrations: Option<ReadRegistrations>,
    /// Latest announcement of a router that reads the registrations.
    pub followed: Option<Followed>,
    /// Time up to which the store, or the network to it, was last unreachable; 0 for never.
    pub store_away_until: Time,
    /// When the store last responded.
    pub store_heard_at: Time,
    /// Whether the last call to the store failed.
    pub store_failing: bool,
    /// Which engines cache which prompt parts.
    pub holdings: Holdings,
    /// Strikes, by which requests that crash backend servers are found.
    pub strikes: Strikes,
    /// Retry budgets, by service.
    pub budgets: HashMap<Arc<str>, SendBudget>,
    /// Revision of the order lease's record; none while no router holds the lease.
    pub order_holder: Option<Revision>,
    /// Term of the order lease, while this router holds it.
    pub tenure: Option<Tenure>,
    /// Orders given and due in that lease term.
    pub plan: OrderPlan,
}

impl Belief {
    /// Returns the empty view of a router that has just started.
    pub fn new(settings: &Settings) -> Belief {
        let due_ms = settings.weights_due_ms.saturating_sub(WEIGHTS_MARGIN_MS);
        Belief {
            configuration: None,
            configuration_since: now(),
            weights: Weights::new(due_ms, due_ms.min(EARLIER_WEIGHTS_DUE_MS)),
            fleet: Fleet::default(),
            fleet_known: false,
            read_registrations: None,
            followed: None,
            store_away_until: Time(0),
            store_heard_at: now(),
            store_failing: false,
            holdings: Holdings::default(),
            strikes: Strikes::default(),
            budgets: HashMap::new(),
            order_holder: None,
            tenure: None,
            plan: OrderPlan::default(),
        }
    }
}
