//! What a gateway believes of the world around it.

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

/// Age up to which registrations that another router has read are relied on, in
/// milliseconds: a router that reads them itself then still leaves a leaving
/// server in time.
const FOLLOWED_MS: u64 = 1_700;

/// Time that a request may spend on its way and in an engine's queue before it
/// begins, in milliseconds.
const WEIGHTS_MARGIN_MS: u64 = 1_000;

/// Time for which older weights are still used when a router starts and can't
/// know when the newest were named, in milliseconds.
const EARLIER_WEIGHTS_DUE_MS: u64 = 2_500;

/// Registrations that this router has read from the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadRegistrations {
    /// Position of the store's history up to which they were read.
    pub as_of: Revision,
    /// When.
    pub read_at: Time,
}

/// Registrations that another router reads for this one.
#[derive(Clone, Copy, Debug)]
pub struct Followed {
    /// Address of that router.
    pub reader: SocketAddr,
    /// Hash of the registrations as it has read them.
    pub digest: u64,
    /// Position of the store's history up to which it has read them.
    pub as_of: Revision,
    /// When it read them.
    pub read_at: Time,
}

impl Followed {
    /// Takes in what another router tells at `now`.
    pub fn new(now: Time, reader: SocketAddr, told: ToldFleet) -> Followed {
        let age_us = u64::from(told.age_ms) * 1_000;
        Followed {
            reader,
            digest: told.digest,
            as_of: told.as_of,
            read_at: Time(now.0.saturating_sub(age_us)),
        }
    }

    /// Tells whether that router has read them lately.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.millis_since(self.read_at) < FOLLOWED_MS
    }
}

/// What a gateway believes.
pub struct Belief {
    /// Configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// When it was taken over.
    pub configuration_since: Time,
    /// Versions of weights that were named.
    pub weights: Weights,
    /// Backend servers.
    pub fleet: Fleet,
    /// Whether registrations of backend servers were ever read.
    pub fleet_known: bool,
    /// Registrations that this router reads itself, while it does.
    pub read_registrations: Option<ReadRegistrations>,
    /// Registrations that another router reads for this one.
    pub followed: Option<Followed>,
    /// Until when the store, or the way to it, was last seen to fail.
    pub store_away_until: Time,
    /// When the store last answered.
    pub store_heard_at: Time,
    /// Whether the last call to the store failed.
    pub store_failing: bool,
    /// Which engines hold which parts.
    pub holdings: Holdings,
    /// Requests that crash backend servers.
    pub strikes: Strikes,
    /// Repeats left, by service.
    pub budgets: HashMap<Arc<str>, SendBudget>,
    /// Revision of the record of the router that gives orders, if one does.
    pub order_holder: Option<Revision>,
    /// The tenure under which this router gives orders, if it does.
    pub tenure: Option<Tenure>,
    /// Orders of that tenure.
    pub plan: OrderPlan,
}

impl Belief {
    /// Returns what a gateway believes that has heard nothing.
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
