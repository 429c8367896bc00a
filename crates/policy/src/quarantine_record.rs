//! The record of requests that are on trial.
//!
//! A request that ran on a runner that broke is on trial when it runs again. No
//! two requests are on trial at one runner, and no request at two, so that a
//! second broken runner names the request that broke it.

use serde::Deserialize;
use serde::Serialize;

use crate::Time;

/// Key of the record.
pub(crate) const QUARANTINE_KEY: &str = "strikes/trials";

/// A request that is on trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineEntry {
    pub(crate) server: String,
    pub(crate) fingerprint: u64,
    /// VM and incarnation of the router that has the request.
    pub(crate) holder: String,
    /// Time after which the trial is over in any case.
    pub(crate) until: Time,
}

/// All requests that are on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineRecord {
    #[serde(rename = "trials")]
    pub(crate) entries: Vec<QuarantineEntry>,
}

impl QuarantineRecord {
    /// Adds a trial if neither its server nor its request is on trial yet.
    pub(crate) fn add(&mut self, entry: QuarantineEntry) -> bool {
        let conflicts = self
            .entries
            .iter()
            .any(|t| t.server == entry.server || t.fingerprint == entry.fingerprint);
        if !conflicts {
            self.entries.push(entry);
        }
        !conflicts
    }

    /// Tells whether a request is on trial at this server.
    pub(crate) fn is_busy(&self, server: &str) -> bool {
        self.entries.iter().any(|entry| entry.server == server)
    }

    /// Drops trials that have lapsed, and those of `holder` that `has_ended` names.
    pub(crate) fn drop_ended<F>(&mut self, now: Time, holder: &str, has_ended: F)
    where
        F: Fn(&QuarantineEntry) -> bool,
    {
        self.entries
            .retain(|entry| now < entry.until && (entry.holder != holder || !has_ended(entry)));
    }
}
