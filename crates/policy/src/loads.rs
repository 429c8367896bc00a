//! Weight loads that this router sees to.

use std::collections::BTreeMap;

use crate::load_record::LoadRecord;
use crate::load_record::Wanted;
use crate::HeldWeights;
use crate::OpId;
use crate::ServerKey;
use crate::StoreRequest;
use crate::Time;

/// State of the loads that this router sees to.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// Servers that lack weights, as their last load report says.
    pub(crate) wanted: BTreeMap<ServerKey, Wanted>,
    /// Weights that servers hold, as their last load report says.
    pub(crate) held: BTreeMap<ServerKey, Held>,
    /// Last orders that were given, by server.
    pub(crate) given: BTreeMap<String, Given>,
    /// Record with its version, as last read or written; none when unsure.
    pub(crate) record: Option<(u64, LoadRecord)>,
    /// The one call to the key-value service without a result.
    pub(crate) pending: Option<Pending>,
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

/// A call to the key-value service about the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Pending {
    /// A read.
    Read(OpId),
    /// A write of this record.
    Write(OpId, LoadRecord),
}

impl Loads {
    /// Tells whether `op` is the call that has no result yet, and forgets it.
    pub(crate) fn settle(&mut self, op: OpId) -> Option<Pending> {
        let ours = match &self.pending {
            Some(Pending::Read(own) | Pending::Write(own, _)) => *own == op,
            None => false,
        };
        if ours {
            self.pending.take()
        } else {
            None
        }
    }

    /// Tells whether there is nothing to see to.
    pub(crate) fn is_idle(&self, holder: &str) -> bool {
        let own = self
            .record
            .as_ref()
            .is_some_and(|(_, record)| record.own(holder).next().is_some());
        self.wanted.is_empty() && !own
    }
}

/// Encodes a record for a write over `expected`.
pub(crate) fn write_request(key: &str, expected: u64, record: &LoadRecord) -> StoreRequest {
    StoreRequest::CompareAndSwap {
        key: key.to_owned(),
        expected,
        value: serde_json::to_vec(record).expect("a record has a JSON form"),
        expires: None,
    }
}
