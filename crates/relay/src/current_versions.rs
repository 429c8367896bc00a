//! When versions of models' weights are known not to have been replaced.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::age_ms;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of versions kept per model.
const MAX_VERSIONS: usize = 16;

/// A version of a model's weights that was the newest at some time, in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedUpdate {
    /// Name of the model.
    pub model: String,
    /// The version; 0 before the first.
    pub version: u64,
    /// Time since no newer version had been announced, in milliseconds.
    pub current_ms: u32,
}

/// Up to when the announcements in a message were complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletenessUpdate {
    /// Time since no version newer than those in the message had been announced, of any model, in
    /// milliseconds; none if the sender doesn't know.
    pub complete_ms: Option<u32>,
    /// The same for versions that were replaced since.
    pub replaced: Vec<ReplacedUpdate>,
}

/// Latest times at which versions are known not to have been replaced.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentVersions {
    /// Latest time at which no version newer than the announced ones is known to have been announced.
    complete_at: Option<Time>,
    /// The same for versions that were the newest once.
    current_at: BTreeMap<Arc<str>, BTreeMap<u64, Time>>,
}

impl CurrentVersions {
    /// Records that all versions announced by `at` are known.
    pub(crate) fn confirm(&mut self, at: Time) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Returns up to when all announced versions are known.
    pub(crate) fn complete_at(&self) -> Option<Time> {
        self.complete_at
    }

    /// Records that no version of a model newer than `version` had been announced by `at`.
    pub(crate) fn record(&mut self, model: &str, version: u64, at: Time) {
        let of_model = self.current_at.entry(model.into()).or_default();
        let known = of_model.entry(version).or_insert(at);
        *known = at.max(*known);
        if of_model.len() > MAX_VERSIONS {
            of_model.pop_first();
        }
    }

    /// Records that `newest`, the newest known version of a model, is no longer the newest.
    pub(crate) fn end(&mut self, model: &str, newest: u64) {
        if let Some(at) = self.complete_at {
            self.record(model, newest, at);
        }
    }

    /// Returns the latest time at which a version is known not to have been replaced.
    pub(crate) fn current_at(&self, model: &str, version: u64) -> Option<Time> {
        let up_to = self.current_at.get(model)?.range(..=version);
        up_to.map(|(_, at)| *at).max()
    }

    /// Returns what other routers need of this: when versions older than the newest were current,
    /// within the last `max_ms` milliseconds.
    pub(crate) fn update<F>(&self, now: Time, max_ms: u64, newest: F) -> CompletenessUpdate
    where
        F: Fn(&str) -> Option<u64>,
    {
        let replaced = self.current_at.iter().flat_map(|(model, current_at)| {
            let newest = newest(model).unwrap_or(0);
            current_at
                .range(..newest)
                .map(|(version, at)| ReplacedUpdate {
                    model: model.to_string(),
                    version: *version,
                    current_ms: age_ms(now, *at),
                })
        });
        CompletenessUpdate {
            complete_ms: self.complete_at.map(|at| age_ms(now, at)),
            replaced: replaced
                .filter(|replaced| u64::from(replaced.current_ms) < max_ms)
                .collect(),
        }
    }
}
