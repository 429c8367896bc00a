//! Versions of models' weights that the operators have named.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

/// Versions of one model that are remembered.
const REMEMBERED: usize = 16;

/// A version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    version: u64,
    seen_at: Time,
    /// From when no request may begin on the version before.
    due_at: Time,
    /// The same for versions further back, which others replaced in between
    /// that this router may not know.
    skipped_due_at: Time,
}

/// How long ago a version was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// Just now.
    Fresh,
    /// So many milliseconds ago, as another router knows.
    Ago(u64),
    /// Some time before this router first heard of it.
    Earlier,
}

/// The versions of each model's weights, newest last.
#[derive(Clone, Debug)]
pub struct Weights {
    named: BTreeMap<Arc<str>, Vec<Named>>,
    /// Time within which engines must have a version that was just named, in milliseconds.
    due_ms: u64,
    /// The same for a version that was named at an unknown earlier time.
    earlier_due_ms: u64,
}

impl Weights {
    /// Begins without any version; see the fields for the times.
    pub fn new(due_ms: u64, earlier_due_ms: u64) -> Weights {
        Weights {
            named: BTreeMap::new(),
            due_ms,
            earlier_due_ms,
        }
    }

    /// Takes in a version; tells whether it is newer than the one known.
    pub fn announce(&mut self, now: Time, model: &str, version: u64, naming: Announcement) -> bool {
        if self.wanted(model).is_some_and(|known| known >= version) {
            return false;
        }
        let (due_ms, ago_ms) = match naming {
            Announcement::Fresh => (self.due_ms, 0),
            Announcement::Ago(ms) => (self.due_ms.saturating_sub(ms), ms),
            Announcement::Earlier => (self.earlier_due_ms, 0),
        };
        let named = self.named.entry(model.into()).or_default();
        if named.len() == REMEMBERED {
            named.remove(0);
        }
        named.push(Named {
            version,
            seen_at: Time(now.0.saturating_sub(ago_ms.saturating_mul(1_000))),
            due_at: now.plus_millis(due_ms),
            skipped_due_at: now.plus_millis(due_ms.min(self.earlier_due_ms)),
        });
        true
    }

    /// Returns the version that engines of `model` are to have.
    pub fn wanted(&self, model: &str) -> Option<u64> {
        let newest = self.named.get(model)?.last()?;
        Some(newest.version)
    }

    /// Returns all models with their newest versions, and for how long those are
    /// known, in milliseconds.
    pub fn newest_with_ages(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64, u64)> {
        self.named.iter().filter_map(move |(model, named)| {
            let newest = named.last()?;
            Some((model, newest.version, now.millis_since(newest.seen_at)))
        })
    }

    /// Returns since when `version` of a model's weights is replaced by a newer
    /// one, as far as this router knows; none if it is the newest.
    pub fn replaced_at(&self, model: &str, version: u64) -> Option<Time> {
        self.first_newer(model, version).map(|named| named.seen_at)
    }

    /// Tells whether no request may begin on `version` of a model's weights any more.
    pub fn is_overdue(&self, now: Time, model: &str, version: u64) -> bool {
        let Some(newer) = self.first_newer(model, version) else {
            return false;
        };
        let due_at = if newer.version > version + 1 {
            newer.skipped_due_at
        } else {
            newer.due_at
        };
        due_at <= now
    }

    /// Returns all models with their newest versions.
    pub fn newest(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.named.iter().filter_map(|(model, named)| {
            let newest = named.last()?;
            Some((model, newest.version))
        })
    }

    fn first_newer(&self, model: &str, version: u64) -> Option<&Named> {
        let named = self.named.get(model)?;
        named.iter().find(|named| named.version > version)
    }
}
