//! The record of strikes in the key-value service.
//!
//! Routers send strikes to each other. The record is for routers that restart
//! together, and for those not yet on each other's membership lists. Each
//! router reads it at start and then every second until it must be on the
//! lists, and writes it when it sees an engine fail, which is rare.

use crate::Action;
use crate::Node;
use crate::OpId;
use crate::StoreRequest;
use crate::StoreResult;
use crate::Strike;
use crate::Time;

/// Key of the record.
const STRIKES_KEY: &str = "strikes";

/// Maximum number of strikes in the record.
const MAX_RECORDED_STRIKES: usize = 1_000;

/// Time after the start of a router during which it may be missing from
/// membership lists, in milliseconds.
const STARTUP_READ_MS: u64 = 15_000;

/// State of this router's copy of the record.
#[derive(Debug, Default)]
pub(crate) struct StrikeRecord {
    /// Time of the first poll.
    started_at: Option<Time>,
    /// Version of the record; none if it must be read.
    version: Option<u64>,
    /// Whether strikes must be written.
    dirty: bool,
    /// The request in flight, and whether it is a write.
    pending: Option<(OpId, bool)>,
}

impl Node {
    /// Reads the record again while this router may be missing from membership
    /// lists, and writes strikes that it lacks.
    pub(crate) fn poll_strike_record(&mut self, now: Time, out: &mut Vec<Action>) {
        let started_at = *self.strike_record.started_at.get_or_insert(now);
        if now < started_at.plus_millis(STARTUP_READ_MS) {
            self.strike_record.version = None;
        }
        self.sync_strike_record(out);
    }

    /// Reads the record if its version is unknown, or writes it if strikes are
    /// missing from it. Does nothing while a request is in flight.
    pub(crate) fn sync_strike_record(&mut self, out: &mut Vec<Action>) {
        let record = &self.strike_record;
        let request = match (record.version, record.dirty) {
            _ if record.pending.is_some() => return,
            (None, _) => StoreRequest::Get {
                key: STRIKES_KEY.to_owned(),
            },
            (Some(_), false) => return,
            (Some(expected), true) => StoreRequest::CompareAndSwap {
                key: STRIKES_KEY.to_owned(),
                expected,
                value: self.encode_strikes(),
                expires: None,
            },
        };
        let writes = matches!(request, StoreRequest::CompareAndSwap { .. });
        let op = self.store_ops.next_id();
        self.strike_record.pending = Some((op, writes));
        self.strike_record.dirty &= !writes;
        out.push(Action::Store { op, request });
    }

    /// Writes the strikes to the record after a new one.
    pub(crate) fn record_strikes(&mut self, out: &mut Vec<Action>) {
        self.strike_record.dirty = true;
        self.sync_strike_record(out);
    }

    /// Handles a result for the strike record; returns whether `op` belongs to it.
    pub(crate) fn on_strike_record_result(
        &mut self,
        now: Time,
        op: OpId,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some((_, writes)) = self.strike_record.pending.filter(|(own, _)| *own == op) else {
            return false;
        };
        self.strike_record.pending = None;
        let written = matches!(result, StoreResult::Written { .. });
        self.strike_record.dirty |= writes && !written;
        self.strike_record.version = match result {
            StoreResult::Written { version } => Some(*version),
            StoreResult::Absent | StoreResult::Conflict { held: None } => Some(0),
            StoreResult::Value { version, value }
            | StoreResult::Conflict {
                held: Some((version, value)),
            } => {
                self.merge_recorded_strikes(now, value);
                Some(*version)
            }
            StoreResult::ResponseLost | StoreResult::Unavailable => None,
        };
        let again = !writes && *result == StoreResult::ResponseLost;
        if again || self.strike_record.version.is_some() {
            self.sync_strike_record(out);
        }
        true
    }

    fn merge_recorded_strikes(&mut self, now: Time, value: &[u8]) {
        let strikes: Vec<Strike> = serde_json::from_slice(value).unwrap_or_default();
        let limit = self.crash_limit();
        for strike in &strikes {
            self.strikes.add_if_live(now, strike, limit);
        }
    }

    fn encode_strikes(&self) -> Vec<u8> {
        let mut strikes = self.strikes.all();
        strikes.sort_by_key(|strike| std::cmp::Reverse(strike.at_ms));
        strikes.truncate(MAX_RECORDED_STRIKES);
        serde_json::to_vec(&strikes).expect("strikes are serializable to JSON")
    }
}
