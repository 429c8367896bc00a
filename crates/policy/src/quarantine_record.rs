//! The record of quarantined requests in the key-value service.
//!
//! A request that was on an engine when it failed is quarantined when it runs
//! again. No two quarantined requests run on one engine, and none runs on two,
//! so that the next engine failure identifies the request that caused it.

use serde::Deserialize;
use serde::Serialize;

use crate::Time;

/// Key of the record.
pub(crate) const QUARANTINE_KEY: &str = "strikes/trials";

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineEntry {
    pub(crate) server: String,
    pub(crate) fingerprint: u64,
    /// VM and incarnation of the router that runs the request.
    pub(crate) holder: String,
    /// Time at which the quarantine ends in any case.
    pub(crate) until: Time,
}

/// All quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineRecord {
    #[serde(rename = "trials")]
    pub(crate) entries: Vec<QuarantineEntry>,
}

impl QuarantineRecord {
    /// Adds an entry unless its server or its request has one already; returns
    /// whether it was added.
    pub(crate) fn add(&mut self, entry: QuarantineEntry) -> bool {
        let conflicts = self
            .entries
            .iter()
            .any(|e| e.server == entry.server || e.fingerprint == entry.fingerprint);
        if !conflicts {
            self.entries.push(entry);
        }
        !conflicts
    }

    /// Returns whether a quarantined request runs on this server.
    pub(crate) fn is_busy(&self, server: &str) -> bool {
        self.entries.iter().any(|entry| entry.server == server)
    }

    /// Drops expired entries, and those of `holder` for which `has_ended` returns true.
    pub(crate) fn drop_ended<F>(&mut self, now: Time, holder: &str, has_ended: F)
    where
        F: Fn(&QuarantineEntry) -> bool,
    {
        self.entries
            .retain(|entry| now < entry.until && (entry.holder != holder || !has_ended(entry)));
    }
}
