//! Weights loads that this router is responsible for.

use std::collections::BTreeMap;

use crate::shared_record::SharedRecord;
use crate::weights_load_record::WantedLoad;
use crate::weights_load_record::WeightsLoadRecord;
use crate::weights_load_record::WEIGHTS_LOADS_KEY;
use crate::HeldWeights;
use crate::ServerKey;
use crate::Time;

/// State of the weights loads that this router is responsible for.
#[derive(Debug)]
pub(crate) struct WeightsLoads {
    /// Loads that servers need, according to their last load report.
    pub(crate) wanted: BTreeMap<ServerKey, WantedLoad>,
    /// Weights that servers hold, according to their last load report.
    pub(crate) held: BTreeMap<ServerKey, ReportedWeights>,
    /// The last order sent to each server, by server name.
    pub(crate) sent_orders: BTreeMap<String, SentOrder>,
    /// Copy of the record of all running weights loads.
    pub(crate) record: SharedRecord<WeightsLoadRecord>,
    /// Time of the next check; none while there is nothing to do, see [`WeightsLoads::is_idle`].
    pub(crate) next_poll_at: Option<Time>,
}

/// Weights that a server reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportedWeights {
    pub(crate) as_of: Time,
    pub(crate) weights: Vec<HeldWeights>,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentOrder {
    pub(crate) fencing: u64,
    /// Time from which it can no longer be in flight.
    pub(crate) in_flight_until: Time,
    /// Time from which it may be sent again.
    pub(crate) retry_at: Time,
}

impl WeightsLoads {
    /// Creates the state without any loads.
    pub(crate) fn new() -> WeightsLoads {
        WeightsLoads {
            wanted: BTreeMap::new(),
            held: BTreeMap::new(),
            sent_orders: BTreeMap::new(),
            record: SharedRecord::new(WEIGHTS_LOADS_KEY),
            next_poll_at: None,
        }
    }

    /// Returns whether no load is wanted and `holder` has no slot.
    pub(crate) fn is_idle(&self, holder: &str) -> bool {
        let own = self
            .record
            .content()
            .is_some_and(|record| record.held_by(holder).next().is_some());
        self.wanted.is_empty() && !own
    }
}
