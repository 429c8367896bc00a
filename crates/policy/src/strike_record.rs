//! The record of strikes in the key-value service.
//!
//! Routers tell each other of strikes; the record is for those that restart
//! together, and for those that aren't on each other's membership lists yet. It
//! is read by each router that starts, each second until the lists must show it,
//! and written by those that see a runner break, which is rare.

use crate::Action;
use crate::Node;
use crate::OpId;
use crate::StoreRequest;
use crate::StoreResult;
use crate::Strike;
use crate::Time;

/// Key of the record.
const STRIKES_KEY: &str = "strikes";

/// Strikes in the record at most.
const RECORDED: usize = 1_000;

/// Time after its start in which a router may be missing from membership lists,
/// in milliseconds.
const YOUNG_MS: u64 = 15_000;

/// What this router knows of the record.
#[derive(Debug, Default)]
pub(crate) struct StrikeRecord {
    /// Time of the first look.
    started_at: Option<Time>,
    /// Version of the record, none while it is not known.
    version: Option<u64>,
    /// Whether strikes are to be written.
    dirty: bool,
    /// The one call without a result, and whether it writes.
    pending: Option<(OpId, bool)>,
}

impl Node {
    /// Reads the record again while other routers may not know this one yet, and
    /// writes what is missing from it.
    pub(crate) fn look_again_at_strike_record(&mut self, now: Time, out: &mut Vec<Action>) {
        let started_at = *self.strike_record.started_at.get_or_insert(now);
        if now < started_at.plus_millis(YOUNG_MS) {
            self.strike_record.version = None;
        }
        self.look_at_strike_record(out);
    }

    /// Reads the record, or writes what is missing from it, if need be.
    pub(crate) fn look_at_strike_record(&mut self, out: &mut Vec<Action>) {
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
                value: self.strikes_to_record(),
                expires: None,
            },
        };
        let writes = matches!(request, StoreRequest::CompareAndSwap { .. });
        let op = self.store_ops.name();
        self.strike_record.pending = Some((op, writes));
        self.strike_record.dirty &= !writes;
        out.push(Action::Store { op, request });
    }

    /// Has a new strike written.
    pub(crate) fn record_strikes(&mut self, out: &mut Vec<Action>) {
        self.strike_record.dirty = true;
        self.look_at_strike_record(out);
    }

    /// Takes in the result of a call about the record; tells whether it was one.
    pub(crate) fn on_strike_record(
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
        let settled = matches!(result, StoreResult::Written { .. });
        self.strike_record.dirty |= writes && !settled;
        self.strike_record.version = match result {
            StoreResult::Written { version } => Some(*version),
            StoreResult::Absent | StoreResult::Conflict { held: None } => Some(0),
            StoreResult::Value { version, value }
            | StoreResult::Conflict {
                held: Some((version, value)),
            } => {
                self.learn_recorded(now, value);
                Some(*version)
            }
            StoreResult::ResponseLost | StoreResult::Unavailable => None,
        };
        let again = !writes && *result == StoreResult::ResponseLost;
        if again || self.strike_record.version.is_some() {
            self.look_at_strike_record(out);
        }
        true
    }

    fn learn_recorded(&mut self, now: Time, value: &[u8]) {
        let strikes: Vec<Strike> = serde_json::from_slice(value).unwrap_or_default();
        let limit = self.crash_limit();
        for strike in &strikes {
            self.strikes.add_live(now, strike, limit);
        }
    }

    fn strikes_to_record(&self) -> Vec<u8> {
        let mut strikes = self.strikes.all();
        strikes.sort_by_key(|strike| std::cmp::Reverse(strike.at_ms));
        strikes.truncate(RECORDED);
        serde_json::to_vec(&strikes).expect("strikes have a JSON form")
    }
}
