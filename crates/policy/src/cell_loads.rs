//! Loads of cells, as their owners tell them.

use std::collections::BTreeMap;

use crate::CellLoad;
use crate::Time;

/// Age from which a cell's load is taken for unknown, in milliseconds.
const LOAD_TTL_MS: u64 = 30_000;

/// A cell's load and the time at which it came.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReceivedLoad {
    load: CellLoad,
    at: Time,
    /// Tokens that this router sent to the cell since.
    sent_tokens: u64,
}

/// Loads of cells, as their owners tell them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellLoads {
    by_cell: BTreeMap<u64, ReceivedLoad>,
}

impl CellLoads {
    /// Takes in what an owner told.
    pub(crate) fn record(&mut self, now: Time, load: &CellLoad) {
        let received = ReceivedLoad {
            load: load.clone(),
            at: now,
            sent_tokens: 0,
        };
        self.by_cell.insert(load.cell, received);
    }

    /// Takes in that this router sends tokens to a cell.
    pub(crate) fn on_sent(&mut self, cell: u64, tokens: u64) {
        if let Some(received) = self.by_cell.get_mut(&cell) {
            received.sent_tokens += tokens;
        }
    }

    /// Returns the mean wait at an engine of a cell, in microseconds.
    pub(crate) fn wait_us(&self, now: Time, cell: u64, engines: usize, us_per_token: f64) -> f64 {
        let Some(received) = self.by_cell.get(&cell) else {
            return 0.0;
        };
        let sent = received.sent_tokens as f64 / engines.max(1) as f64;
        let tokens = f64::from(received.load.queued_tokens) + sent;
        let elapsed_us = now.micros_since(received.at) as f64;
        (tokens * us_per_token - elapsed_us).max(0.0)
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.by_cell
            .retain(|_, received| now.millis_since(received.at) < LOAD_TTL_MS);
    }

    /// Returns all loads.
    pub(crate) fn all(&self) -> Vec<CellLoad> {
        self.by_cell
            .values()
            .map(|received| received.load.clone())
            .collect()
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.by_cell.len() * (size_of::<u64>() + size_of::<ReceivedLoad>())
    }
}
