//! Versions of models' weights that the operators have announced.
//!
//! When a version was announced isn't known exactly. Each router keeps bounds instead: a version was
//! announced before the first router learned of it, and after the last time at which the store
//! still held none that was newer than the one before. What a message or a response adds only
//! narrows these bounds, so the order in which they arrive doesn't matter.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::age_ms;
use policy::Arrival;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;

/// Maximum number of versions kept per model.
const MAX_VERSIONS: usize = 16;

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

/// Versions of one model's weights.
#[derive(Clone, Debug, Default)]
struct ModelVersions {
    /// Announced versions, and by when each had been announced.
    announced: BTreeMap<u64, Time>,
    /// Versions that were the newest once, and the latest time at which each is known to have been.
    current_at: BTreeMap<u64, Time>,
}

impl ModelVersions {
    fn newest(&self) -> Option<u64> {
        let (version, _) = self.announced.last_key_value()?;
        Some(*version)
    }

    /// Returns by when a version newer than `version` had been announced; none if it is the newest.
    fn replaced_by(&self, version: u64) -> Option<Time> {
        let newer = self.announced.range(version.saturating_add(1)..);
        newer.map(|(_, announced_by)| *announced_by).min()
    }

    /// Returns the latest time at which `version` is known not to have been replaced.
    fn current_at(&self, version: u64) -> Option<Time> {
        let up_to = self.current_at.range(..=version);
        up_to.map(|(_, current_at)| *current_at).max()
    }

    fn announce(&mut self, version: u64, announced_by: Time) {
        let known = self.announced.entry(version).or_insert(announced_by);
        *known = announced_by.min(*known);
        if self.announced.len() > MAX_VERSIONS {
            self.announced.pop_first();
        }
    }

    fn record_current(&mut self, version: u64, at: Time) {
        let known = self.current_at.entry(version).or_insert(at);
        *known = at.max(*known);
        if self.current_at.len() > MAX_VERSIONS {
            self.current_at.pop_first();
        }
    }
}

/// The announced versions of all models' weights, and when they must be loaded.
#[derive(Clone, Debug)]
pub struct Weights {
    models: BTreeMap<Arc<str>, ModelVersions>,
    /// Latest time at which no version newer than those in `models` is known to have been announced.
    complete_at: Option<Time>,
    /// Time within which engines must load an announced version, in milliseconds.
    due_ms: u64,
    /// Time from which replaced versions aren't used if nothing tells how long ago they were replaced.
    unknown_due_at: Time,
}

impl Weights {
    /// Creates a record without versions; the parameters are described at the fields.
    pub fn new(due_ms: u64, unknown_due_at: Time) -> Weights {
        Weights {
            models: BTreeMap::new(),
            complete_at: None,
            due_ms,
            unknown_due_at,
        }
    }

    /// Records a version that had been announced at least `age_ms` milliseconds before the news of it
    /// arrived. Returns whether it is newer than all known ones.
    pub fn announce(&mut self, news: Arrival, model: &str, version: u64, age_ms: u64) -> bool {
        let complete_at = self.complete_at;
        let versions = self.models.entry(model.into()).or_default();
        let newest = versions.newest().unwrap_or(0);
        let is_newest = newest < version;
        if let (true, Some(at)) = (is_newest, complete_at) {
            versions.record_current(newest, at);
        }
        versions.announce(version, news.latest_of(age_ms));
        is_newest
    }

    /// Records that at `at` no version was announced that this router doesn't know.
    pub fn confirm(&mut self, at: Time) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Records that at `at` no versions were announced that are newer than `newest`, of any model.
    pub fn confirm_newest(&mut self, at: Time, newest: &BTreeMap<&str, u64>) {
        let newest_of = |model: &str| newest.get(model).copied().unwrap_or(0);
        for (model, versions) in &mut self.models {
            let version = newest_of(model);
            if versions.newest() > Some(version) {
                versions.record_current(version, at);
            }
        }
        let is_known =
            |(model, version): (&&str, &u64)| self.target_version(model) >= Some(*version);
        if newest.iter().all(is_known) {
            self.confirm(at);
        }
    }

    /// Records when the announcements that another router names were complete. They were recorded
    /// before.
    pub fn apply_completeness(
        &mut self,
        message: Arrival,
        named: &[AnnouncementUpdate],
        update: &CompletenessUpdate,
    ) {
        for replaced in &update.replaced {
            let at = message.earliest_of(u64::from(replaced.current_ms));
            let versions = self
                .models
                .entry(replaced.model.as_str().into())
                .or_default();
            versions.record_current(replaced.version, at);
        }
        if let Some(complete_ms) = update.complete_ms {
            let newest = named.iter().map(|update| (&*update.model, update.version));
            let at = message.earliest_of(u64::from(complete_ms));
            self.confirm_newest(at, &newest.collect());
        }
    }

    /// Returns up to when the announcements that this router knows are complete, for other routers.
    pub fn completeness(&self, now: Time) -> CompletenessUpdate {
        let replaced = self.models.iter().flat_map(|(model, versions)| {
            let newest = versions.newest();
            let replaced = versions.current_at.iter();
            replaced
                .filter(move |(version, _)| Some(**version) < newest)
                .map(|(version, at)| ReplacedUpdate {
                    model: model.to_string(),
                    version: *version,
                    current_ms: age_ms(now, *at),
                })
        });
        CompletenessUpdate {
            complete_ms: self.complete_at.map(|at| age_ms(now, at)),
            replaced: replaced
                .filter(|replaced| u64::from(replaced.current_ms) < self.due_ms)
                .collect(),
        }
    }

    /// Returns whether the announcements that this router knows were complete at most `ms`
    /// milliseconds ago.
    pub fn is_complete(&self, now: Time, ms: u64) -> bool {
        self.complete_at
            .is_some_and(|at| now.millis_since(at) <= ms)
    }

    /// Returns the newest announced version of a model's weights, which engines should have.
    pub fn target_version(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.newest()
    }

    /// Returns whether a newer version than a backend server has is announced for one of its models.
    pub fn is_outdated(&self, server: &BackendServer) -> bool {
        let mut loaded = server.registration.weights.iter();
        loaded.any(|(model, version)| self.target_version(model) > Some(*version))
    }

    /// Returns the newest version of each model's weights, and for how long it has been announced at
    /// least.
    pub fn newest(&self, now: Time) -> impl Iterator<Item = AnnouncementUpdate> + '_ {
        self.models.iter().filter_map(move |(model, versions)| {
            let (version, announced_by) = versions.announced.last_key_value()?;
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
        self.models.get(model)?.replaced_by(version)
    }

    /// Returns when `version` of a model's weights is last known not to have been replaced.
    pub fn current_at(&self, model: &str, version: u64) -> Option<Time> {
        self.models.get(model)?.current_at(version)
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
