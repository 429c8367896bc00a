//! Claims on idempotency records, and the results written to them.

use crate::arrive::RETRY_AFTER_MS;
use crate::call_table::Stage;
use crate::idempotency_record::Claim;
use crate::idempotency_record::Found;
use crate::idempotency_record::RecordState;
use crate::mutation::Mutation;
use crate::outcome::Progress;
use crate::outcome::Unsent;
use crate::overload::RefusalCause;
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

/// Time for which a claim is retried while the platform is unreachable, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// Time for which writing the result of a call is retried, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 600_000;

/// Maximum pause between two retries, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 2_000;

impl Node {
    /// Requests the claim on the record of a new call.
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
            kind: OpKind::Claim {
                expected_version: 0,
            },
            tries: 0,
            give_up_at: now.plus_millis(CLAIM_TIMEOUT_MS),
        };
        self.send_op(op, out);
    }

    /// Writes the response of a call to its record, or only that the call ran if the response is
    /// too large.
    pub(crate) fn record_response(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self.calls.get(id).expect("only live calls are recorded");
        let Stage::Recording(response) = &call.stage else {
            return;
        };
        let claim = call
            .claim
            .clone()
            .expect("only calls with a claim are recorded");
        let max_bytes = self
            .active_config
            .config()
            .map_or(0, |c| c.limits.stored_answer_bytes);
        let state = if response.body.len() as u64 <= max_bytes {
            RecordState::Done {
                answer: response.clone(),
            }
        } else {
            RecordState::AnswerNotKept
        };
        self.finish_record(now, id, claim, state, out);
    }

    /// Replaces the claim in the record by the result of the call.
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
            give_up_at: now.plus_millis(FINISH_TIMEOUT_MS),
        };
        self.send_op(op, out);
    }

    /// Handles the result of a request to the key-value service.
    pub(crate) fn on_store(
        &mut self,
        now: Time,
        id: OpId,
        result: StoreResult,
        out: &mut Vec<Action>,
    ) {
        if self.on_strike_record_result(now, id, &result, out)
            || self.on_weights_record_result(now, id, &result, out)
            || self.on_quarantine_record_result(now, id, &result, out)
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

    /// Resends a request to the key-value service.
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
            StoreResult::Conflict { held: Some(held) } => {
                self.on_existing_record(now, op, held, out)
            }
            StoreResult::Conflict { held: None } | StoreResult::Absent => {
                self.retry_op(
                    now,
                    op,
                    OpKind::Claim {
                        expected_version: 0,
                    },
                    out,
                );
            }
            StoreResult::ResponseLost if self.has_mutation(Mutation::TrustLostClaim) => {
                self.on_claimed(now, op, 1, out);
            }
            StoreResult::ResponseLost | StoreResult::Value { .. } => {
                self.retry_op(now, op, OpKind::ReadBack, out);
            }
            StoreResult::Unavailable => {
                let kind = op.kind.clone();
                self.retry_op(now, op, kind, out);
            }
        }
    }

    fn on_read_back(&mut self, now: Time, op: StoreOp, result: StoreResult, out: &mut Vec<Action>) {
        match result {
            StoreResult::Value { version, value } => {
                self.on_existing_record(now, op, (version, value), out);
            }
            StoreResult::Absent if self.calls.get(op.call).is_none() => {}
            StoreResult::Absent => self.retry_op(
                now,
                op,
                OpKind::Claim {
                    expected_version: 0,
                },
                out,
            ),
            _ => self.retry_op(now, op, OpKind::ReadBack, out),
        }
    }

    fn on_existing_record(
        &mut self,
        now: Time,
        op: StoreOp,
        (version, value): (u64, Vec<u8>),
        out: &mut Vec<Action>,
    ) {
        let retry_at = now.plus_millis(RETRY_AFTER_MS);
        let id = op.call;
        match op.claim.interpret(now, &value) {
            Found::Own => self.on_claimed(now, op, version, out),
            Found::Free if self.calls.get(id).is_none() => {}
            Found::Free => self.retry_op(
                now,
                op,
                OpKind::Claim {
                    expected_version: version,
                },
                out,
            ),
            Found::Done(response) => self.respond(id, response, true, out),
            Found::AnswerNotKept => self.refuse_done(id, Reason::AnswerNotKept, out),
            Found::Claimed if self.has_mutation(Mutation::TakeOverClaim) => {
                self.on_claimed(now, op, version, out);
            }
            Found::Claimed => self.refuse(
                id,
                RefusalCause::retryable(retry_at, Reason::InProgress),
                out,
            ),
            Found::Unknown => self.refuse(
                id,
                RefusalCause::permanent(Reason::EarlierAttemptUnknown),
                out,
            ),
            Found::OtherRequest => {
                if let Some(call) = self.calls.get_mut(id) {
                    call.progress = Progress::Unsent(Unsent::new());
                }
                self.refuse(id, RefusalCause::permanent(Reason::KeyReused), out);
            }
        }
    }

    fn on_claimed(&mut self, now: Time, op: StoreOp, version: u64, out: &mut Vec<Action>) {
        let claim = Claim {
            version,
            ..op.claim
        };
        let wanted = self.calls.get_mut(op.call).filter(|call| !call.caller_done);
        let Some(call) = wanted else {
            self.end(op.call);
            self.finish_record(now, op.call, claim, RecordState::Released, out);
            return;
        };
        call.claim = Some(claim);
        call.progress = Progress::Unsent(Unsent::new());
        if now >= call.deadline {
            let retry_at = now.plus_millis(RETRY_AFTER_MS);
            self.refuse(
                op.call,
                RefusalCause::retryable(retry_at, Reason::DeadlinePassed),
                out,
            );
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
                self.respond_recorded(op.call, out);
            }
            _ => {
                self.respond_recorded(op.call, out);
                let kind = op.kind.clone();
                self.retry_op(now, op, kind, out);
            }
        }
    }

    /// Sends the caller the response that is being recorded, if there is one.
    pub(crate) fn respond_recorded(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let Stage::Recording(response) = call.stage.clone() else {
            return;
        };
        self.respond(id, response, false, out);
    }

    /// Ends a call with the response of its service.
    pub(crate) fn respond(
        &mut self,
        id: CallId,
        response: StoredResponse,
        replayed: bool,
        out: &mut Vec<Action>,
    ) {
        if self.end_and_check_caller(id) {
            out.push(Action::Respond {
                call: id,
                response,
                replayed,
            });
        }
    }

    fn refuse_done(&mut self, id: CallId, reason: Reason, out: &mut Vec<Action>) {
        if self.end_and_check_caller(id) {
            let refusal = crate::Refusal::done(reason);
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    /// Ends a call and returns whether its caller is still waiting.
    fn end_and_check_caller(&mut self, id: CallId) -> bool {
        let waiting = self.calls.get(id).is_some_and(|call| !call.caller_done);
        self.end(id);
        waiting
    }

    /// Retries a request to the key-value service, at once the first time and
    /// then after a growing pause; gives up when its time is over.
    fn retry_op(&mut self, now: Time, op: StoreOp, kind: OpKind, out: &mut Vec<Action>) {
        let next = StoreOp {
            kind,
            tries: op.tries + 1,
            ..op
        };
        if now >= next.give_up_at {
            self.abandon_op(now, next, out);
            return;
        }
        if next.tries == 1 {
            self.send_op(next, out);
            return;
        }
        self.send_op_later(now, next);
    }

    /// Refuses a call whose record is unreachable. A claim that may have been
    /// written is still searched for, to release it: its call was not sent.
    fn abandon_op(&mut self, now: Time, op: StoreOp, out: &mut Vec<Action>) {
        let retry_at = now.plus_millis(RETRY_AFTER_MS);
        let cause = RefusalCause::retryable(retry_at, Reason::PlatformUnavailable);
        let waited_for = self.calls.get(op.call).is_some();
        self.refuse(op.call, cause, out);
        if waited_for && op.kind == OpKind::ReadBack {
            let next = StoreOp {
                give_up_at: now.plus_millis(FINISH_TIMEOUT_MS),
                ..op
            };
            self.send_op_later(now, next);
        }
    }

    fn send_op_later(&mut self, now: Time, op: StoreOp) {
        let pause_ms = (10 << op.tries.min(10)).min(MAX_RETRY_PAUSE_MS);
        let id = self.store_ops.add(op);
        self.timers
            .add(now.plus_millis(pause_ms), Timer::StoreRetry(id));
    }

    fn send_op(&mut self, op: StoreOp, out: &mut Vec<Action>) {
        let request = op.request();
        let op = self.store_ops.add(op);
        out.push(Action::Store { op, request });
    }
}
