//! What cells are expected to hold of prompts, learned from cached-token counts.

use std::collections::BTreeMap;

use crate::ServerKey;
use crate::Time;

/// Time for which a cell is taken to hold what it held, in milliseconds.
const ENTRY_TTL_MS: u64 = 10_000;

/// Families that are remembered at most, over all cells.
const MAX_ENTRIES: usize = 10_000;

/// Part of a prompt's pieces that a cell held.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    cached_fraction: f64,
    at: Time,
    /// Engine that the owner of the cell chose last.
    server: Option<ServerKey>,
}

/// What cells are expected to hold, by cell and prompt family.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellAffinity {
    observations: BTreeMap<(u64, u64), Observation>,
}

impl CellAffinity {
    /// Returns the part of a prompt's pieces that a cell is expected to hold;
    /// of a family that was not seen lately, only the first cell holds any.
    pub(crate) fn cached_fraction(&self, now: Time, cell: u64, family: u64, first: bool) -> f64 {
        match self.observations.get(&(cell, family)) {
            Some(observation) if now.millis_since(observation.at) < ENTRY_TTL_MS => {
                observation.cached_fraction
            }
            _ if first => 1.0,
            _ => 0.0,
        }
    }

    /// Takes in that a cell is given a prompt and will hold its pieces.
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

    /// Takes in which engine the owner of a cell chose.
    pub(crate) fn on_placed(&mut self, cell: u64, family: u64, server: ServerKey) {
        if let Some(observation) = self.observations.get_mut(&(cell, family)) {
            observation.server = Some(server);
        }
    }

    /// Returns the engine that the owner of a cell chose last.
    pub(crate) fn server(&self, cell: u64, family: u64) -> Option<ServerKey> {
        self.observations.get(&(cell, family))?.server
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.observations
            .retain(|_, observation| now.millis_since(observation.at) < ENTRY_TTL_MS);
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.observations.len() * (size_of::<(u64, u64)>() + size_of::<Observation>())
    }
}
