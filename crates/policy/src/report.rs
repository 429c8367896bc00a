//! Reports of attempts, retries and final answers.

use crate::arrive::COME_BACK_MS;
use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::once::RecordState;
use crate::outcome::Progress;
use crate::overload::NotNow;
use crate::Action;
use crate::Attempt;
use crate::AttemptId;
use crate::BackendReport;
use crate::CallId;
use crate::Failure;
use crate::Incarnation;
use crate::Node;
use crate::PeerMessage;
use crate::Reason;
use crate::ServerInstance;
use crate::ServerKey;
use crate::StoredResponse;
use crate::Strike;
use crate::Time;

/// Attempts of one call at most.
const ATTEMPTS: u32 = 5;

/// Time for which a server that could not be reached is used last, in milliseconds.
const SUSPECT_MS: u64 = 2_000;

/// Time for which a leaving server of an unknown incarnation is used last, in milliseconds.
const LEAVING_MS: u64 = 30_000;

impl Node {
    /// Takes in what became of an attempt.
    pub(crate) fn on_report(
        &mut self,
        now: Time,
        id: CallId,
        attempt: AttemptId,
        report: BackendReport,
        out: &mut Vec<Action>,
    ) {
        let any = self.is_off(Mutation::MixAttempts);
        let running = self
            .calls
            .get(id)
            .filter(|call| any || call.attempt == attempt);
        let Some(server) = running.and_then(Call::server) else {
            out.push(Action::LateReport { call: id, attempt });
            return;
        };
        if !matches!(report, BackendReport::Failed { .. }) {
            self.fleet.heard(server, now);
        }
        match report {
            BackendReport::Started {
                incarnation,
                cached_tokens,
            } => self.on_started(now, id, server, incarnation, cached_tokens),
            BackendReport::FirstToken => self.on_first_token(now, id, server),
            BackendReport::Finished { .. } => self.end(id),
            BackendReport::Responded(answer) => self.on_answer(now, id, answer, out),
            BackendReport::Failed { failure, delivered } => {
                self.on_failed(now, id, server, failure, delivered, out);
            }
        }
    }

    fn on_started(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        incarnation: Incarnation,
        cached_tokens: u64,
    ) {
        let call = self.calls.get_mut(id).expect("it was found before");
        call.incarnation = incarnation;
        self.see_incarnation(server, incarnation);
        self.on_cached(now, id, server, cached_tokens);
    }

    fn on_first_token(&mut self, now: Time, id: CallId, server: ServerKey) {
        self.on_trial_token(now, id);
        let call = self.calls.get_mut(id).expect("it was found before");
        call.stage = Stage::Running {
            server,
            started: true,
        };
    }

    fn on_answer(&mut self, now: Time, id: CallId, answer: StoredResponse, out: &mut Vec<Action>) {
        self.leave_server(id);
        let call = self.calls.get_mut(id).expect("it was found before");
        if call.claim.is_some() {
            call.stage = Stage::Recording(answer);
            self.record_answer(now, id, out);
            return;
        }
        self.give_answer(id, answer, false, out);
    }

    /// Takes in that an attempt failed.
    pub(crate) fn on_failed(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        failure: Failure,
        delivered: u32,
        out: &mut Vec<Action>,
    ) {
        self.leave_server(id);
        let was_on_trial = self.trials.running.contains_key(&id);
        self.trials.end(id);
        let call = self.calls.get_mut(id).expect("it was found before");
        let incarnation = call.incarnation;
        call.progress = call.take_progress().failed(failure.never_ran());
        call.delivered = delivered;
        if failure == Failure::StaleWeights {
            call.any_weights = true;
        } else {
            call.failed_at.push(server);
        }
        match failure {
            Failure::Leaving if incarnation == Incarnation::default() => {
                self.fleet.suspect(server, now.plus_millis(LEAVING_MS));
            }
            Failure::Leaving => self.learn_leaving(server, incarnation, out),
            Failure::NotConnected => self.fleet.suspect(server, now.plus_millis(SUSPECT_MS)),
            Failure::Stalled => self.fleet.suspect(server, now.plus_millis(SUSPECT_MS)),
            Failure::Broken => self.strike(now, id, server, was_on_trial, out),
            Failure::StaleIncarnation => self.forget(server),
            Failure::Overloaded | Failure::StaleWeights | Failure::Refused => {}
        }
        self.retry_or_refuse(now, id, failure, out);
    }

    fn strike(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        on_trial: bool,
        out: &mut Vec<Action>,
    ) {
        self.fleet.suspect(server, now.plus_millis(SUSPECT_MS));
        let call = self.calls.get(id).expect("it was found before");
        if !matches!(call.target, Target::Engine(_)) {
            return;
        }
        let strike = Strike {
            fingerprint: call.fingerprint,
            mark: ServerInstance {
                server: self.fleet.server(server).name.clone(),
                incarnation: call.incarnation,
            },
            at_ms: now.as_millis(),
            on_trial,
        };
        let limit = self.crash_limit();
        if self.strikes.add(&strike, limit) {
            self.tell_all(&PeerMessage::Strikes(vec![strike]), out);
            self.record_strikes(out);
        }
    }

    fn retry_or_refuse(&mut self, now: Time, id: CallId, failure: Failure, out: &mut Vec<Action>) {
        if let Some(not_now) = self.reason_to_give_up(now, id, failure) {
            self.refuse(id, not_now, out);
            return;
        }
        out.push(Action::Retried { call: id, failure });
        self.route(now, id, out);
    }

    fn reason_to_give_up(&mut self, now: Time, id: CallId, failure: Failure) -> Option<NotNow> {
        let call = self.calls.get(id)?;
        let soon = now.plus_millis(COME_BACK_MS);
        let resend = self.is_off(Mutation::ResendAfterBreak);
        if call.claim.is_some() && !failure.never_ran() && !resend {
            return Some(NotNow::for_good(Reason::AttemptsFailed));
        }
        if matches!(call.target, Target::Stream { .. }) {
            return Some(NotNow::for_good(Reason::StreamGone));
        }
        if now >= call.deadline && call.delivered == 0 {
            return Some(NotNow::until(soon, Reason::DeadlinePassed));
        }
        if call.attempt.0 >= ATTEMPTS {
            return Some(NotNow::until(soon, Reason::AttemptsFailed));
        }
        let struck = self.strikes.count(now, call.fingerprint) > 0;
        let free = call.delivered > 0 || failure == Failure::StaleWeights || struck;
        if !free && !self.budget.spend(call.workspace) {
            return Some(NotNow::until(soon, Reason::RetryBudgetSpent));
        }
        None
    }

    /// Gives a call's final answer when it is not served.
    pub(crate) fn refuse(&mut self, id: CallId, not_now: NotNow, out: &mut Vec<Action>) {
        let Some(mut call) = self.take_out(id) else {
            return;
        };
        let progress = call.take_progress();
        self.close_record(id, &call, &progress, out);
        let refusal = if self.is_off(Mutation::SayNotRun) {
            crate::Refusal::not_run(crate::Unsent::new(), not_now.reason, not_now.retry_at)
        } else {
            progress.refuse(not_now.reason, not_now.retry_at)
        };
        if !call.answered {
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    /// Takes in that a caller has gone away.
    pub(crate) fn on_caller_gone(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        if call.claim.is_some() {
            call.answered = true;
            return;
        }
        self.cancel_attempt(id, out);
        self.end(id);
    }

    /// Looks at a call whose deadline has come.
    pub(crate) fn on_call_deadline(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let streaming = matches!(call.stage, Stage::Running { started: true, .. });
        let resumed = matches!(call.target, Target::Stream { .. });
        if streaming || resumed || call.answered {
            return;
        }
        if matches!(call.stage, Stage::Recording(_)) {
            self.give_recorded(id, out);
            return;
        }
        let not_now = NotNow::until(now.plus_millis(COME_BACK_MS), Reason::DeadlinePassed);
        if call.claim.is_some() && !matches!(call.stage, Stage::Claiming) {
            call.answered = true;
            let refusal = Progress::MayHaveRun.refuse(not_now.reason, not_now.retry_at);
            out.push(Action::Refuse { call: id, refusal });
            return;
        }
        self.cancel_attempt(id, out);
        self.refuse(id, not_now, out);
    }

    /// Stops the attempt of a call, if one is with a server.
    pub(crate) fn cancel_attempt(&self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if let Some(server) = call.server() {
            out.push(Action::Cancel(Attempt {
                call: id,
                attempt: call.attempt,
                server,
            }));
        }
    }

    /// Gives up what is still in flight when the VM must stop.
    pub(crate) fn on_shutdown_deadline(&mut self, out: &mut Vec<Action>) {
        for id in self.calls.ids() {
            self.give_recorded(id, out);
            self.refuse(id, NotNow::for_good(Reason::ShuttingDown), out);
        }
    }

    /// Ends a call that has its answer.
    pub(crate) fn end(&mut self, id: CallId) {
        self.take_out(id);
    }

    fn take_out(&mut self, id: CallId) -> Option<Call> {
        self.leave_server(id);
        self.trials.end(id);
        let call = self.calls.remove(id)?;
        self.admission.release(call.workspace, call.tokens);
        Some(call)
    }

    /// Takes the call out of what is counted at its server.
    fn leave_server(&mut self, id: CallId) {
        let call = self.calls.get(id);
        let service = call.filter(|call| matches!(call.target, Target::Service(_)));
        if let Some(server) = service.and_then(Call::server) {
            self.replica_loads.on_ended(server);
        }
    }

    fn close_record(
        &mut self,
        id: CallId,
        call: &Call,
        progress: &Progress,
        out: &mut Vec<Action>,
    ) {
        let Some(claim) = call.claim.clone().filter(|claim| claim.version > 0) else {
            return;
        };
        let state = match progress {
            Progress::Unsent(_) => RecordState::Released,
            Progress::InFlight(_) | Progress::MayHaveRun => RecordState::Unknown,
        };
        self.finish_record(call.deadline, id, claim, state, out);
    }
}
