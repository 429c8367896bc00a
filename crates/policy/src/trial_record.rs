//! The record of requests that are on trial.
//!
//! A request that ran on a runner that broke is on trial when it runs again. No
//! two requests are on trial at one runner, and no request at two, so that a
//! second broken runner names the request that broke it.

use serde::Deserialize;
use serde::Serialize;

use crate::Time;

/// Key of the record.
pub(crate) const TRIALS_KEY: &str = "strikes/trials";

/// A request that is on trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Trial {
    pub(crate) server: String,
    pub(crate) fingerprint: u64,
    /// VM and incarnation of the router that has the request.
    pub(crate) holder: String,
    /// Time after which the trial is over in any case.
    pub(crate) until: Time,
}

/// All requests that are on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TrialRecord {
    pub(crate) trials: Vec<Trial>,
}

impl TrialRecord {
    /// Adds a trial if neither its server nor its request is on trial yet.
    pub(crate) fn add(&mut self, trial: Trial) -> bool {
        let clash = self
            .trials
            .iter()
            .any(|t| t.server == trial.server || t.fingerprint == trial.fingerprint);
        if !clash {
            self.trials.push(trial);
        }
        !clash
    }

    /// Tells whether a request is on trial at this server.
    pub(crate) fn is_busy(&self, server: &str) -> bool {
        self.trials.iter().any(|trial| trial.server == server)
    }

    /// Drops trials that have lapsed, and those of `holder` that `is_over` names.
    pub(crate) fn drop_over<F>(&mut self, now: Time, holder: &str, is_over: F)
    where
        F: Fn(&Trial) -> bool,
    {
        self.trials
            .retain(|trial| now < trial.until && (trial.holder != holder || !is_over(trial)));
    }
}
