//! Versions of models' weights that the operators have named.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

/// The newest version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    version: u64,
    seen_at: Time,
}

/// The newest version of each model's weights.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    named: BTreeMap<Arc<str>, Named>,
}

impl Weights {
    /// Takes in a version; tells whether it is newer than the one known.
    pub fn name(&mut self, now: Time, model: &str, version: u64) -> bool {
        let known = self.wanted(model);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        let named = Named {
            version,
            seen_at: now,
        };
        self.named.insert(model.into(), named);
        true
    }

    /// Returns the version that engines of `model` are to have.
    pub fn wanted(&self, model: &str) -> Option<u64> {
        self.named.get(model).map(|named| named.version)
    }

    /// Returns since when the version of `model` is known here.
    pub fn seen_at(&self, model: &str) -> Option<Time> {
        self.named.get(model).map(|named| named.seen_at)
    }

    /// Returns all models with their versions.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.named
            .iter()
            .map(|(model, named)| (model, named.version))
    }
}
