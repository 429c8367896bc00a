//! Loads of cells, as reported by their owners.

use std::collections::BTreeMap;

use crate::CellLoad;
use crate::Time;

/// Age from which a reported load is discarded, in milliseconds.
const LOAD_TTL_MS: u64 = 30_000;

/// A reported load and the time at which it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReceivedLoad {
    load: CellLoad,
    at: Time,
    /// Tokens that this router has sent to the cell since then.
    sent_tokens: u64,
}

/// Last reported load of each cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellLoads {
    by_cell: BTreeMap<u64, ReceivedLoad>,
}

impl CellLoads {
    /// Records a load reported by the owner of a cell.
    pub(crate) fn record(&mut self, now: Time, load: &CellLoad) {
        let received = ReceivedLoad {
            load: load.clone(),
            at: now,
            sent_tokens: 0,
        };
        self.by_cell.insert(load.cell, received);
    }

    /// Records that this router sends prompt tokens to a cell.
    pub(crate) fn on_sent(&mut self, cell: u64, tokens: u64) {
        if let Some(received) = self.by_cell.get_mut(&cell) {
            received.sent_tokens += tokens;
        }
    }

    /// Returns the expected mean wait at an engine of the cell, in
    /// microseconds; 0 without a report.
    pub(crate) fn wait_us(&self, now: Time, cell: u64, engines: usize, us_per_token: f64) -> f64 {
        let Some(received) = self.by_cell.get(&cell) else {
            return 0.0;
        };
        let sent = received.sent_tokens as f64 / engines.max(1) as f64;
        let tokens = f64::from(received.load.queued_tokens) + sent;
        let elapsed_us = now.micros_since(received.at) as f64;
        (tokens * us_per_token - elapsed_us).max(0.0)
    }

    /// Drops loads older than [`LOAD_TTL_MS`].
    pub(crate) fn expire(&mut self, now: Time) {
        self.by_cell
            .retain(|_, received| now.millis_since(received.at) < LOAD_TTL_MS);
    }

    /// Returns the last reported loads of all cells.
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
