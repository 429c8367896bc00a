//! Claims of records and what is written into them.

use crate::arrive::COME_BACK_MS;
use crate::call_table::Stage;
use crate::mutation::Mutation;
use crate::once::Claim;
use crate::once::Found;
use crate::once::RecordState;
use crate::outcome::Progress;
use crate::outcome::Unsent;
use crate::overload::NotNow;
use crate::store_ops::OpKind;
use crate::store_ops::StoreOp;
use crate::timers::Timer;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::OpId;
use crate::Reason;
use crate::StoreResult;
use crate::StoredResponse;
use crate::Time;

/// Time for which a claim is tried while the platform can't be reached, in milliseconds.
const CLAIM_PATIENCE_MS: u64 = 1_000;

/// Time for which the end of a call is tried to be recorded, in milliseconds.
const FINISH_PATIENCE_MS: u64 = 600_000;

/// Longest pause between two tries, in milliseconds.
const PAUSE_MS: u64 = 2_000;

impl Node {
    /// Claims the record of a call that has just arrived.
    pub(crate) fn claim_record(
        &mut self,
        now: Time,
        id: CallId,
        claim: Claim,
        out: &mut Vec<Action>,
    ) {
        let op = StoreOp {
            call: id,
            claim,
            kind: OpKind::Claim { over: 0 },
            tries: 0,
            give_up_at: now.plus_millis(CLAIM_PATIENCE_MS),
        };
        self.send_op(op, out);
    }

    /// Records the answer of a call.
    pub(crate) fn record_answer(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self.calls.get(id).expect("it was answered");
        let Stage::Recording(answer) = &call.stage else {
            return;
        };
        let claim = call.claim.clone().expect("only claimed calls are recorded");
        let most = self
            .rollout
            .config()
            .map_or(0, |c| c.limits.stored_answer_bytes);
        let state = if answer.body.len() as u64 <= most {
            RecordState::Done {
                answer: answer.clone(),
            }
        } else {
            RecordState::AnswerNotKept
        };
        self.finish_record(now, id, claim, state, out);
    }

    /// Writes what became of a call over its claim.
    pub(crate) fn finish_record(
        &mut self,
        now: Time,
        id: CallId,
        claim: Claim,
        state: RecordState,
        out: &mut Vec<Action>,
    ) {
        let op = StoreOp {
            call: id,
            claim,
            kind: OpKind::Finish(state),
            tries: 0,
            give_up_at: now.plus_millis(FINISH_PATIENCE_MS),
        };
        self.send_op(op, out);
    }

    /// Takes in the result of a call to the key-value service.
    pub(crate) fn on_store(
        &mut self,
        now: Time,
        id: OpId,
        result: StoreResult,
        out: &mut Vec<Action>,
    ) {
        if self.on_strike_record(now, id, &result, out)
            || self.on_loads_result(now, id, &result, out)
            || self.on_trials_result(now, id, &result, out)
        {
            return;
        }
        let Some(op) = self.store_ops.take(id) else {
            return;
        };
        match op.kind.clone() {
            OpKind::Claim { .. } => self.on_claim_result(now, op, result, out),
            OpKind::ReadBack => self.on_read_back(now, op, result, out),
            OpKind::Finish(_) => self.on_finish_result(now, op, result, out),
        }
    }

    /// Sends a call to the key-value service again.
    pub(crate) fn on_store_retry(&mut self, id: OpId, out: &mut Vec<Action>) {
        if let Some(op) = self.store_ops.take(id) {
            self.send_op(op, out);
        }
    }

    fn on_claim_result(
        &mut self,
        now: Time,
        op: StoreOp,
        result: StoreResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            StoreResult::Written { version } => self.on_claimed(now, op, version, out),
            StoreResult::Conflict { held: Some(held) } => self.on_found(now, op, held, out),
            StoreResult::Conflict { held: None } | StoreResult::Absent => {
                self.try_later(now, op, OpKind::Claim { over: 0 }, out);
            }
            StoreResult::ResponseLost if self.is_off(Mutation::TrustLostClaim) => {
                self.on_claimed(now, op, 1, out);
            }
            StoreResult::ResponseLost | StoreResult::Value { .. } => {
                self.try_later(now, op, OpKind::ReadBack, out);
            }
            StoreResult::Unavailable => {
                let kind = op.kind.clone();
                self.try_later(now, op, kind, out);
            }
        }
    }

    fn on_read_back(&mut self, now: Time, op: StoreOp, result: StoreResult, out: &mut Vec<Action>) {
        match result {
            StoreResult::Value { version, value } => {
                self.on_found(now, op, (version, value), out);
            }
            StoreResult::Absent if self.calls.get(op.call).is_none() => {}
            StoreResult::Absent => self.try_later(now, op, OpKind::Claim { over: 0 }, out),
            _ => self.try_later(now, op, OpKind::ReadBack, out),
        }
    }

    fn on_found(
        &mut self,
        now: Time,
        op: StoreOp,
        (version, value): (u64, Vec<u8>),
        out: &mut Vec<Action>,
    ) {
        let soon = now.plus_millis(COME_BACK_MS);
        let id = op.call;
        match op.claim.read(now, &value) {
            Found::Own => self.on_claimed(now, op, version, out),
            Found::Free if self.calls.get(id).is_none() => {}
            Found::Free => self.try_later(now, op, OpKind::Claim { over: version }, out),
            Found::Done(answer) => self.give_answer(id, answer, true, out),
            Found::AnswerNotKept => self.refuse_done(id, Reason::AnswerNotKept, out),
            Found::Claimed if self.is_off(Mutation::TakeOverClaim) => {
                self.on_claimed(now, op, version, out);
            }
            Found::Claimed => self.refuse(id, NotNow::until(soon, Reason::InProgress), out),
            Found::Unknown => self.refuse(id, NotNow::for_good(Reason::EarlierAttemptUnknown), out),
            Found::OtherRequest => {
                if let Some(call) = self.calls.get_mut(id) {
                    call.progress = Progress::Unsent(Unsent::new());
                }
                self.refuse(id, NotNow::for_good(Reason::KeyReused), out);
            }
        }
    }

    fn on_claimed(&mut self, now: Time, op: StoreOp, version: u64, out: &mut Vec<Action>) {
        let claim = Claim {
            version,
            ..op.claim
        };
        let wanted = self.calls.get_mut(op.call).filter(|call| !call.answered);
        let Some(call) = wanted else {
            self.end(op.call);
            self.finish_record(now, op.call, claim, RecordState::Released, out);
            return;
        };
        call.claim = Some(claim);
        call.progress = Progress::Unsent(Unsent::new());
        if now >= call.deadline {
            let soon = now.plus_millis(COME_BACK_MS);
            self.refuse(op.call, NotNow::until(soon, Reason::DeadlinePassed), out);
            return;
        }
        self.route(now, op.call, out);
    }

    fn on_finish_result(
        &mut self,
        now: Time,
        op: StoreOp,
        result: StoreResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            StoreResult::Written { .. } | StoreResult::Conflict { .. } => {
                self.give_recorded(op.call, out);
            }
            _ => {
                self.give_recorded(op.call, out);
                let kind = op.kind.clone();
                self.try_later(now, op, kind, out);
            }
        }
    }

    /// Gives a caller the answer that is being recorded.
    pub(crate) fn give_recorded(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let Stage::Recording(answer) = call.stage.clone() else {
            return;
        };
        self.give_answer(id, answer, false, out);
    }

    /// Ends a call with the answer of its service.
    pub(crate) fn give_answer(
        &mut self,
        id: CallId,
        answer: StoredResponse,
        replayed: bool,
        out: &mut Vec<Action>,
    ) {
        if self.end_waiting(id) {
            out.push(Action::Respond {
                call: id,
                answer,
                replayed,
            });
        }
    }

    fn refuse_done(&mut self, id: CallId, reason: Reason, out: &mut Vec<Action>) {
        if self.end_waiting(id) {
            let refusal = crate::Refusal::done(reason);
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    /// Ends a call and tells whether its caller still waits.
    fn end_waiting(&mut self, id: CallId) -> bool {
        let waiting = self.calls.get(id).is_some_and(|call| !call.answered);
        self.end(id);
        waiting
    }

    /// Tries again after a pause, or gives up.
    fn try_later(&mut self, now: Time, op: StoreOp, kind: OpKind, out: &mut Vec<Action>) {
        let next = StoreOp {
            kind,
            tries: op.tries + 1,
            ..op
        };
        if now >= next.give_up_at {
            self.give_up(now, next, out);
            return;
        }
        if next.tries == 1 {
            self.send_op(next, out);
            return;
        }
        self.send_later(now, next);
    }

    /// Refuses a call whose record can't be reached. A claim that may have been
    /// written is looked for further, to be released: its call was not sent.
    fn give_up(&mut self, now: Time, op: StoreOp, out: &mut Vec<Action>) {
        let soon = now.plus_millis(COME_BACK_MS);
        let not_now = NotNow::until(soon, Reason::PlatformUnavailable);
        let waited_for = self.calls.get(op.call).is_some();
        self.refuse(op.call, not_now, out);
        if waited_for && op.kind == OpKind::ReadBack {
            let next = StoreOp {
                give_up_at: now.plus_millis(FINISH_PATIENCE_MS),
                ..op
            };
            self.send_later(now, next);
        }
    }

    fn send_later(&mut self, now: Time, op: StoreOp) {
        let pause_ms = (10 << op.tries.min(10)).min(PAUSE_MS);
        let id = self.store_ops.add(op);
        self.timers.add(now.plus_millis(pause_ms), Timer::Store(id));
    }

    fn send_op(&mut self, op: StoreOp, out: &mut Vec<Action>) {
        let request = op.request();
        let op = self.store_ops.add(op);
        out.push(Action::Store { op, request });
    }
}
