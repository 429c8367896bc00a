//! Weight loads that this router sees to.

use std::collections::BTreeMap;

use crate::load_record::Wanted;
use crate::load_record::WeightsLoadRecord;
use crate::load_record::WEIGHTS_LOADS_KEY;
use crate::shared_record::SharedRecord;
use crate::HeldWeights;
use crate::ServerKey;
use crate::Time;

/// State of the loads that this router sees to.
#[derive(Debug)]
pub(crate) struct Loads {
    /// Servers that lack weights, as their last load report says.
    pub(crate) wanted: BTreeMap<ServerKey, Wanted>,
    /// Weights that servers hold, as their last load report says.
    pub(crate) held: BTreeMap<ServerKey, Held>,
    /// Last orders that were given, by server.
    pub(crate) given: BTreeMap<String, Given>,
    /// Loads that are under way over the whole fleet.
    pub(crate) record: SharedRecord<WeightsLoadRecord>,
    /// Time at which the loads are looked at next; none when nothing is wanted.
    pub(crate) look_at: Option<Time>,
}

/// Weights that a server held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) as_of: Time,
    pub(crate) weights: Vec<HeldWeights>,
}

/// An order that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Given {
    pub(crate) fencing: u64,
    /// Time from which it can't be on its way any more.
    pub(crate) landed_at: Time,
    /// Time from which it may be given again.
    pub(crate) repeat_at: Time,
}

impl Loads {
    /// Creates a router that sees to no load.
    pub(crate) fn new() -> Loads {
        Loads {
            wanted: BTreeMap::new(),
            held: BTreeMap::new(),
            given: BTreeMap::new(),
            record: SharedRecord::new(WEIGHTS_LOADS_KEY),
            look_at: None,
        }
    }

    /// Tells whether there is nothing to see to.
    pub(crate) fn is_idle(&self, holder: &str) -> bool {
        let own = self
            .record
            .content()
            .is_some_and(|record| record.own(holder).next().is_some());
        self.wanted.is_empty() && !own
    }
}
