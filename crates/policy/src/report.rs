//! Reports about attempts, retries and final responses.

use crate::arrive::RETRY_AFTER_MS;
use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::idempotency_record::RecordState;
use crate::mutation::Mutation;
use crate::outcome::Progress;
use crate::overload::RefusalCause;
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

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 5;

/// Time for which a server that was unreachable, stalled or broke a connection is used only if no
/// other is available, in milliseconds.
const SUSPECT_MS: u64 = 2_000;

/// Time for which a leaving server of unknown incarnation is used only if no
/// other is available, in milliseconds.
const LEAVING_SUSPECT_MS: u64 = 30_000;

impl Node {
    /// Handles a report about an attempt.
    pub(crate) fn on_report(
        &mut self,
        now: Time,
        id: CallId,
        attempt: AttemptId,
        report: BackendReport,
        out: &mut Vec<Action>,
    ) {
        let any_attempt = self.has_mutation(Mutation::MixAttempts);
        let running = self
            .calls
            .get(id)
            .filter(|call| any_attempt || call.attempt == attempt);
        let Some(server) = running.and_then(Call::server) else {
            out.push(Action::LateReport { call: id, attempt });
            return;
        };
        if !matches!(report, BackendReport::Failed { .. }) {
            self.fleet.record_contact(server, now);
        }
        match report {
            BackendReport::Started {
                incarnation,
                cached_tokens,
            } => self.on_started(now, id, server, incarnation, cached_tokens),
            BackendReport::FirstToken => self.on_first_token(now, id, server),
            BackendReport::Finished { .. } => self.end(id),
            BackendReport::Responded(response) => self.on_response(now, id, response, out),
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
        let call = self.calls.get_mut(id).expect("the call was found before");
        call.incarnation = incarnation;
        self.observe_incarnation(server, incarnation);
        self.on_cached(now, id, server, cached_tokens);
    }

    fn on_first_token(&mut self, now: Time, id: CallId, server: ServerKey) {
        self.on_quarantined_token(now, id);
        let call = self.calls.get_mut(id).expect("the call was found before");
        call.stage = Stage::Running {
            server,
            started: true,
        };
    }

    fn on_response(
        &mut self,
        now: Time,
        id: CallId,
        response: StoredResponse,
        out: &mut Vec<Action>,
    ) {
        self.release_server(id);
        let call = self.calls.get_mut(id).expect("the call was found before");
        if call.claim.is_some() {
            call.stage = Stage::Recording(response);
            self.record_response(now, id, out);
            return;
        }
        self.respond(id, response, false, out);
    }

    /// Handles the failure of an attempt: retries the call or refuses it.
    pub(crate) fn on_failed(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        failure: Failure,
        delivered: u32,
        out: &mut Vec<Action>,
    ) {
        self.release_server(id);
        let was_quarantined = self.quarantine.running.contains_key(&id);
        self.quarantine.end(id);
        let call = self.calls.get_mut(id).expect("the call was found before");
        let incarnation = call.incarnation;
        call.progress = call.take_progress().failed(failure.never_ran());
        call.delivered = delivered;
        if failure == Failure::StaleWeights {
            call.any_weights = true;
        } else {
            call.failed_servers.push(server);
        }
        match failure {
            Failure::Leaving if incarnation == Incarnation::default() => {
                self.fleet
                    .mark_suspect(server, now.plus_millis(LEAVING_SUSPECT_MS));
            }
            Failure::Leaving => self.announce_leaving(server, incarnation, out),
            Failure::NotConnected => self.fleet.mark_suspect(server, now.plus_millis(SUSPECT_MS)),
            Failure::Stalled => self.fleet.mark_suspect(server, now.plus_millis(SUSPECT_MS)),
            Failure::Broken => self.add_strike(now, id, server, was_quarantined, out),
            Failure::StaleIncarnation => self.reset_server(server),
            Failure::Overloaded | Failure::StaleWeights | Failure::Refused => {}
        }
        self.retry_or_refuse(now, id, failure, out);
    }

    fn add_strike(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        on_trial: bool,
        out: &mut Vec<Action>,
    ) {
        self.fleet.mark_suspect(server, now.plus_millis(SUSPECT_MS));
        let call = self.calls.get(id).expect("the call was found before");
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
            self.broadcast(&PeerMessage::Strikes(vec![strike]), out);
            self.record_strikes(out);
        }
    }

    fn retry_or_refuse(&mut self, now: Time, id: CallId, failure: Failure, out: &mut Vec<Action>) {
        if let Some(cause) = self.retry_refusal(now, id, failure) {
            self.refuse(id, cause, out);
            return;
        }
        out.push(Action::Retried { call: id, failure });
        self.route(now, id, out);
    }

    fn retry_refusal(&mut self, now: Time, id: CallId, failure: Failure) -> Option<RefusalCause> {
        let call = self.calls.get(id)?;
        let retry_at = now.plus_millis(RETRY_AFTER_MS);
        let resend = self.has_mutation(Mutation::ResendAfterBreak);
        if call.claim.is_some() && !failure.never_ran() && !resend {
            return Some(RefusalCause::permanent(Reason::AttemptsFailed));
        }
        if matches!(call.target, Target::Stream { .. }) {
            return Some(RefusalCause::permanent(Reason::StreamGone));
        }
        if now >= call.deadline && call.delivered == 0 {
            return Some(RefusalCause::retryable(retry_at, Reason::DeadlinePassed));
        }
        if call.attempt.0 >= MAX_ATTEMPTS {
            return Some(RefusalCause::retryable(retry_at, Reason::AttemptsFailed));
        }
        let has_strikes = self.strikes.count(now, call.fingerprint) > 0;
        let exempt = call.delivered > 0 || failure == Failure::StaleWeights || has_strikes;
        if !exempt && !self.retry_budget.spend(call.workspace) {
            return Some(RefusalCause::retryable(retry_at, Reason::RetryBudgetSpent));
        }
        None
    }

    /// Ends a call that is not served and sends its refusal.
    pub(crate) fn refuse(&mut self, id: CallId, cause: RefusalCause, out: &mut Vec<Action>) {
        let Some(mut call) = self.remove_call(id) else {
            return;
        };
        let progress = call.take_progress();
        self.close_record(id, &call, &progress, out);
        let refusal = if self.has_mutation(Mutation::SayNotRun) {
            crate::Refusal::not_run(crate::Unsent::new(), cause.reason, cause.retry_at)
        } else {
            progress.refuse(cause.reason, cause.retry_at)
        };
        if !call.caller_done {
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    /// Handles the disconnection of a caller.
    pub(crate) fn on_caller_gone(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        if call.claim.is_some() {
            call.caller_done = true;
            return;
        }
        self.cancel_attempt(id, out);
        self.end(id);
    }

    /// Handles the deadline of a call. A stream that has begun or was resumed continues, and a
    /// response that is being recorded is sent. Every other call is refused; one with a
    /// written claim still continues until its record is updated.
    pub(crate) fn on_call_deadline(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let streaming = matches!(call.stage, Stage::Running { started: true, .. });
        let resumed = matches!(call.target, Target::Stream { .. });
        if streaming || resumed || call.caller_done {
            return;
        }
        if matches!(call.stage, Stage::Recording(_)) {
            self.respond_recorded(id, out);
            return;
        }
        let cause =
            RefusalCause::retryable(now.plus_millis(RETRY_AFTER_MS), Reason::DeadlinePassed);
        if call.claim.is_some() && !matches!(call.stage, Stage::Claiming) {
            call.caller_done = true;
            let refusal = Progress::MayHaveRun.refuse(cause.reason, cause.retry_at);
            out.push(Action::Refuse { call: id, refusal });
            return;
        }
        self.cancel_attempt(id, out);
        self.refuse(id, cause, out);
    }

    /// Cancels the attempt of a call, if one is with a server.
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

    /// Ends all calls that are still in flight when the VM must stop: sends the responses that
    /// are being recorded and refuses the other calls.
    pub(crate) fn on_shutdown_deadline(&mut self, out: &mut Vec<Action>) {
        for id in self.calls.ids() {
            self.respond_recorded(id, out);
            self.refuse(id, RefusalCause::permanent(Reason::ShuttingDown), out);
        }
    }

    /// Ends a call whose final response has been sent or is no longer wanted.
    pub(crate) fn end(&mut self, id: CallId) {
        self.remove_call(id);
    }

    fn remove_call(&mut self, id: CallId) -> Option<Call> {
        self.release_server(id);
        self.quarantine.end(id);
        let call = self.calls.remove(id)?;
        self.admission.release(call.workspace, call.tokens);
        Some(call)
    }

    /// Removes the call from the count of calls at its replica.
    fn release_server(&mut self, id: CallId) {
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
