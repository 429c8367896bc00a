//! Versions of models' weights that the operators have announced.
//!
//! When a version was announced isn't known exactly. Each router keeps bounds instead: a version was
//! announced before the first router learned of it, and after the last time at which the store
//! still held none that was newer than the one before. What a message or a response adds only
//! narrows these bounds, so the order in which they arrive doesn't matter.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Arrival;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::current_versions::CompletenessUpdate;
use crate::current_versions::CurrentVersions;
use crate::BackendServer;

/// Maximum number of versions kept per model.
const MAX_VERSIONS: usize = 16;

/// Most messages through which a reading of the store is used. Each makes it seem later by the time that
/// the message takes, so no router passes on what has come through so many.
const MAX_HOPS: usize = 2;

/// Newest announced version of a model's weights, in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementUpdate {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Time for which the version has been announced at least, in milliseconds.
    pub age_ms: u64,
}

/// The announced versions of all models' weights, and when they must be loaded.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Announced versions by model, and by when each had been announced.
    announced: BTreeMap<Arc<str>, BTreeMap<u64, Time>>,
    /// When versions are known not to have been replaced, by the number of messages through which that
    /// came; this router's own readings of the store first.
    current: [CurrentVersions; MAX_HOPS + 1],
    /// Time within which engines must load an announced version, in milliseconds.
    due_ms: u64,
    /// Time from which replaced versions aren't used if it is unknown how long ago they were replaced.
    unknown_due_at: Time,
}

impl Weights {
    /// Creates a record without versions; the parameters are described at the fields.
    pub fn new(due_ms: u64, unknown_due_at: Time) -> Weights {
        Weights {
            announced: BTreeMap::new(),
            current: Default::default(),
            due_ms,
            unknown_due_at,
        }
    }

    /// Records a version that had been announced at least `age_ms` milliseconds before the news of it
    /// arrived. Returns whether it is newer than all known ones.
    pub fn announce(&mut self, news: Arrival, model: &str, version: u64, age_ms: u64) -> bool {
        let newest = self.target_version(model).unwrap_or(0);
        let is_newest = newest < version;
        if is_newest {
            for current in &mut self.current {
                current.end(model, newest);
            }
        }
        let announced_by = news.latest_of(age_ms);
        let announced = self.announced.entry(model.into()).or_default();
        let known = announced.entry(version).or_insert(announced_by);
        *known = announced_by.min(*known);
        if announced.len() > MAX_VERSIONS {
            announced.pop_first();
        }
        is_newest
    }

    /// Records that at `at` the store held no announcement that this router doesn't know.
    pub fn confirm(&mut self, at: Time) {
        self.current[0].confirm(at);
    }

    /// Records that at `at` the store didn't hold `version` of a model yet.
    pub fn confirm_before(&mut self, at: Time, model: &str, version: u64) {
        self.current[0].record(model, version.saturating_sub(1), at);
    }

    /// Records that at `at` the store held no versions that are newer than `newest`, of any model.
    pub fn confirm_newest(&mut self, at: Time, newest: &BTreeMap<&str, u64>) {
        self.confirm_newest_through(0, at, newest);
    }

    /// Records when the announcements that another router names were complete. They were recorded
    /// before. `updates` are what it knows first-hand, and what came to it through messages.
    pub fn apply_completeness(
        &mut self,
        message: Arrival,
        named: &[AnnouncementUpdate],
        updates: &[CompletenessUpdate],
    ) {
        let newest = named.iter().map(|update| (&*update.model, update.version));
        let newest = newest.collect();
        for (hops, update) in (1..=MAX_HOPS).zip(updates) {
            for replaced in &update.replaced {
                let at = message.earliest_of(u64::from(replaced.current_ms));
                self.current[hops].record(&replaced.model, replaced.version, at);
            }
            if let Some(complete_ms) = update.complete_ms {
                let at = message.earliest_of(u64::from(complete_ms));
                self.confirm_newest_through(hops, at, &newest);
            }
        }
    }

    fn confirm_newest_through(&mut self, hops: usize, at: Time, newest: &BTreeMap<&str, u64>) {
        for (model, announced) in &self.announced {
            let version = newest.get(&**model).copied().unwrap_or(0);
            if announced.keys().next_back() > Some(&version) {
                self.current[hops].record(model, version, at);
            }
        }
        let is_known =
            |(model, version): (&&str, &u64)| self.target_version(model) >= Some(*version);
        if newest.iter().all(is_known) {
            self.current[hops].confirm(at);
        }
    }

    /// Returns up to when the announcements that this router knows are complete, as other routers may use
    /// it: what it knows first-hand, and what came through messages.
    pub fn completeness(&self, now: Time) -> Vec<CompletenessUpdate> {
        let newest = |model: &str| self.target_version(model);
        let passed_on = self.current[..MAX_HOPS].iter();
        passed_on
            .map(|current| current.update(now, self.due_ms, newest))
            .collect()
    }

    /// Returns whether the announcements that this router knows were complete at most `ms`
    /// milliseconds ago.
    pub fn is_complete(&self, now: Time, ms: u64) -> bool {
        let complete_at = self.current.iter().filter_map(CurrentVersions::complete_at);
        let latest = complete_at.max();
        latest.is_some_and(|at| now.millis_since(at) <= ms)
    }

    /// Returns the newest announced version of a model's weights, which engines should have.
    pub fn target_version(&self, model: &str) -> Option<u64> {
        let (version, _) = self.announced.get(model)?.last_key_value()?;
        Some(*version)
    }

    /// Returns whether a newer version than a backend server has is announced for one of its models.
    pub fn is_outdated(&self, server: &BackendServer) -> bool {
        let mut loaded = server.registration.weights.iter();
        loaded.any(|(model, version)| self.target_version(model) > Some(*version))
    }

    /// Returns the newest version of each model's weights, and for how long it has been announced at
    /// least.
    pub fn newest(&self, now: Time) -> impl Iterator<Item = AnnouncementUpdate> + '_ {
        self.announced.iter().filter_map(move |(model, announced)| {
            let (version, announced_by) = announced.last_key_value()?;
            Some(AnnouncementUpdate {
                model: model.to_string(),
                version: *version,
                age_ms: now.millis_since(*announced_by),
            })
        })
    }

    /// Returns by when a version newer than `version` had been announced; none if `version` is the
    /// newest.
    pub fn replaced_by(&self, model: &str, version: u64) -> Option<Time> {
        let newer = self
            .announced
            .get(model)?
            .range(version.saturating_add(1)..);
        newer.map(|(_, announced_by)| *announced_by).min()
    }

    /// Returns when `version` of a model's weights is last known not to have been replaced.
    pub fn current_at(&self, model: &str, version: u64) -> Option<Time> {
        let current = self.current.iter();
        current
            .filter_map(|current| current.current_at(model, version))
            .max()
    }

    /// Returns whether no request may begin on `version` of a model's weights any more.
    pub fn is_overdue(&self, now: Time, model: &str, version: u64) -> bool {
        let due_at = self.overdue_from(model, version);
        due_at.is_some_and(|due_at| due_at <= now)
    }

    /// Returns the time from which no request may begin at a backend server, whatever its model; none if
    /// its weights are the newest.
    pub fn server_overdue_from(&self, server: &BackendServer) -> Option<Time> {
        let loaded = server.registration.weights.iter();
        loaded
            .filter_map(|(model, version)| self.overdue_from(model, *version))
            .min()
    }

    /// Returns the time from which no request may begin on `version` of a model's weights; none if it
    /// is the newest. It counts from the earliest time at which the version can have been replaced.
    pub fn overdue_from(&self, model: &str, version: u64) -> Option<Time> {
        let replaced_by = self.replaced_by(model, version)?;
        let latest_due_at = replaced_by.plus_millis(self.due_ms);
        let due_at = match self.current_at(model, version) {
            Some(at) => at.plus_millis(self.due_ms),
            None => self.unknown_due_at,
        };
        Some(due_at.min(latest_due_at))
    }
}
