//! Estimates which cells have the blocks of a prompt family in cache, from the
//! calls that this router sent there.

use std::collections::BTreeMap;

use crate::ServerKey;
use crate::Time;

/// Time for which a cell is assumed to keep the blocks sent to it, in milliseconds.
const ENTRY_TTL_MS: u64 = 10_000;

/// Maximum number of entries, over all cells.
const MAX_ENTRIES: usize = 10_000;

/// What is known about a prompt family in a cell.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    cached_fraction: f64,
    at: Time,
    /// Engine that the owner of the cell chose last.
    server: Option<ServerKey>,
}

/// Estimated cache contents by cell and prompt family.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellAffinity {
    observations: BTreeMap<(u64, u64), Observation>,
}

impl CellAffinity {
    /// Returns the fraction of a prompt's blocks that a cell is expected to
    /// hold. Without a recent observation that is 1 for the cell that is
    /// `first` by affinity and 0 for all others.
    pub(crate) fn cached_fraction(&self, now: Time, cell: u64, family: u64, first: bool) -> f64 {
        match self.observations.get(&(cell, family)) {
            Some(observation) if now.millis_since(observation.at) < ENTRY_TTL_MS => {
                observation.cached_fraction
            }
            _ if first => 1.0,
            _ => 0.0,
        }
    }

    /// Records that a prompt of the family is sent to the cell, which will then hold its blocks.
    pub(crate) fn on_sent(&mut self, now: Time, cell: u64, family: u64) {
        if self.observations.len() >= MAX_ENTRIES {
            self.expire(now);
        }
        if self.observations.len() < MAX_ENTRIES {
            let observation = self.observations.entry((cell, family)).or_default();
            observation.cached_fraction = 1.0;
            observation.at = now;
        }
    }

    /// Records the engine that the owner of the cell chose.
    pub(crate) fn on_owner_choice(&mut self, cell: u64, family: u64, server: ServerKey) {
        if let Some(observation) = self.observations.get_mut(&(cell, family)) {
            observation.server = Some(server);
        }
    }

    /// Returns the engine that the owner of the cell chose last.
    pub(crate) fn server(&self, cell: u64, family: u64) -> Option<ServerKey> {
        self.observations.get(&(cell, family))?.server
    }

    /// Drops entries older than [`ENTRY_TTL_MS`].
    pub(crate) fn expire(&mut self, now: Time) {
        self.observations
            .retain(|_, observation| now.millis_since(observation.at) < ENTRY_TTL_MS);
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.observations.len() * (size_of::<(u64, u64)>() + size_of::<Observation>())
    }
}
