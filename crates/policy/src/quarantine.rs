//! Quarantined retries of requests that were on an engine when it failed.
//!
//! Most of these requests are harmless: they shared the engine with the one
//! request that crashed it, the poison request. Each is run again in
//! quarantine: no other request with strikes runs on the same engine at the
//! same time, whichever router has it. So a request that makes a second engine
//! fail is the poison request, and the others complete.
//!
//! While the platform is unreachable, a router separates its own quarantined
//! requests, but not those of other routers.

use std::collections::BTreeMap;

use crate::arrive::RETRY_AFTER_MS;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::overload::RefusalCause;
use crate::quarantine_record::QuarantineEntry;
use crate::quarantine_record::QuarantineRecord;
use crate::quarantine_state::QuarantinedCall;
use crate::shared_record::RecordStatus;
use crate::timers::Timer;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::OpId;
use crate::Reason;
use crate::ServerKey;
use crate::StoreResult;
use crate::Time;

/// Interval between two checks of the quarantine, in milliseconds.
const POLL_MS: u64 = 50;

/// Time to wait for reports of other requests on the failed engine before a
/// request is refused for reaching the crash limit, in milliseconds.
const STRIKE_SETTLE_MS: u64 = 300;

/// Time after its first token from which a request is considered harmless, in milliseconds.
const CLEARED_AFTER_MS: u64 = 200;

impl Node {
    /// Returns whether a call may run only in quarantine.
    pub(crate) fn needs_quarantine(&self, now: Time, id: CallId) -> bool {
        if self.has_mutation(Mutation::SkipStrikes) {
            return false;
        }
        self.calls.get(id).is_some_and(|call| {
            matches!(call.target, Target::Engine(_))
                && self.strikes.count(now, call.fingerprint) > 0
        })
    }

    /// Returns a refusal cause if too many engines failed with the request in flight, whichever
    /// request caused the failures.
    pub(crate) fn crash_limit_refusal(&self, now: Time, fingerprint: u64) -> Option<RefusalCause> {
        if self.has_mutation(Mutation::SkipStrikes) {
            return None;
        }
        if self.strikes.failed_engines(now, fingerprint) < self.crash_limit() {
            return None;
        }
        Some(RefusalCause {
            reason: Reason::CrashedEngines,
            retry_at: self.strikes.last_strike_expires_at(fingerprint),
        })
    }

    /// Returns the number of failed engines from which a request is refused.
    pub(crate) fn crash_limit(&self) -> u32 {
        let cfg = self.active_config.config();
        cfg.map_or(u32::MAX, |cfg| cfg.limits.crashes_per_request)
    }

    /// Queues a call for quarantine.
    pub(crate) fn await_quarantine(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self
            .calls
            .get_mut(id)
            .expect("only live calls are quarantined");
        call.stage = Stage::AwaitingQuarantine;
        self.quarantine.waiting.insert(id);
        self.advance_quarantine(now, out);
    }

    /// Records that a quarantined call has its first token.
    pub(crate) fn on_quarantined_token(&mut self, now: Time, id: CallId) {
        if let Some(quarantined) = self.quarantine.running.get_mut(&id) {
            quarantined.cleared_at = Some(now.plus_millis(CLEARED_AFTER_MS));
        }
    }

    /// Ends quarantines that are over and starts waiting ones.
    pub(crate) fn on_quarantine_poll(&mut self, now: Time, out: &mut Vec<Action>) {
        self.quarantine.scheduled = false;
        if !self.quarantine.waiting.is_empty() && !self.quarantine.record.is_pending() {
            self.quarantine.record.invalidate();
        }
        self.quarantine
            .running
            .retain(|_, quarantined| quarantined.cleared_at.is_none_or(|at| now < at));
        self.advance_quarantine(now, out);
    }

    /// Handles a result for the quarantine record; returns whether `op` belongs to it.
    pub(crate) fn on_quarantine_record_result(
        &mut self,
        now: Time,
        op: OpId,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) -> bool {
        let status = self.quarantine.record.on_result(op, result);
        if status == RecordStatus::Unrelated {
            return false;
        }
        let starting = std::mem::take(&mut self.quarantine.starting);
        let written = matches!(result, StoreResult::Written { .. });
        if written || status == RecordStatus::Unavailable {
            self.start_quarantined(now, starting, out);
        } else {
            self.quarantine.waiting.extend(starting.into_keys());
        }
        if status == RecordStatus::Unavailable {
            let chosen = self.choose_quarantined(now, &mut QuarantineRecord::default());
            self.start_quarantined(now, chosen, out);
        } else {
            self.advance_quarantine(now, out);
        }
        true
    }

    fn advance_quarantine(&mut self, now: Time, out: &mut Vec<Action>) {
        self.review_waiting(now, out);
        let holder = self.holder();
        if self.quarantine.is_idle(&holder) {
            self.quarantine.record.invalidate();
            return;
        }
        if !self.quarantine.scheduled {
            self.quarantine.scheduled = true;
            self.timers.add(now.plus_millis(POLL_MS), Timer::Quarantine);
        }
        if self.quarantine.record.is_pending() {
            return;
        }
        match self.quarantine.record.content().cloned() {
            None => self.read_quarantine_record(out),
            Some(content) => self.update_quarantine_record(now, &content, out),
        }
    }

    /// Routes waiting calls normally once another request is identified as the
    /// cause, and refuses those that have reached the crash limit or have no
    /// engine left.
    fn review_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.quarantine.waiting.clone() {
            let fingerprint = self.calls.get(id).map_or(0, |call| call.fingerprint);
            if self.strikes.count(now, fingerprint) == 0 {
                self.quarantine.waiting.remove(&id);
                self.route(now, id, out);
            } else if let Some(cause) = self.waiting_refusal(now, id, fingerprint) {
                self.refuse(id, cause, out);
            }
        }
    }

    fn waiting_refusal(&self, now: Time, id: CallId, fingerprint: u64) -> Option<RefusalCause> {
        if self.quarantine_engines(id).is_empty() {
            let retry_at = now.plus_millis(RETRY_AFTER_MS);
            return Some(RefusalCause::retryable(retry_at, Reason::NoBackendServer));
        }
        let last_strike_at = self.strikes.last_strike_at(fingerprint).unwrap_or_default();
        if now < last_strike_at.plus_millis(STRIKE_SETTLE_MS) {
            return None;
        }
        self.crash_limit_refusal(now, fingerprint)
    }

    fn read_quarantine_record(&mut self, out: &mut Vec<Action>) {
        let op = self.store_ops.next_id();
        let request = self.quarantine.record.read(op);
        out.push(Action::Store { op, request });
    }

    fn update_quarantine_record(
        &mut self,
        now: Time,
        content: &QuarantineRecord,
        out: &mut Vec<Action>,
    ) {
        let holder = self.holder();
        let mut next = content.clone();
        next.drop_ended(now, &holder, |quarantined| {
            !self.quarantine.has(quarantined.fingerprint)
        });
        let chosen = self.choose_quarantined(now, &mut next);
        if next == *content {
            return;
        }
        for id in chosen.keys() {
            self.quarantine.waiting.remove(id);
        }
        self.quarantine.starting = chosen;
        let op = self.store_ops.next_id();
        let request = self.quarantine.record.write(op, next);
        out.push(Action::Store { op, request });
    }

    fn quarantine_entry(&self, id: CallId, quarantined: &QuarantinedCall) -> QuarantineEntry {
        let until = self.calls.get(id).map_or(Time::default(), |c| c.deadline);
        QuarantineEntry {
            server: self.fleet.server(quarantined.server).name.clone(),
            fingerprint: quarantined.fingerprint,
            holder: self.holder(),
            until: until.plus_millis(CLEARED_AFTER_MS),
        }
    }

    /// Chooses an engine for as many waiting calls as engines are free of
    /// quarantined requests, and adds them to `next`.
    fn choose_quarantined(
        &self,
        now: Time,
        next: &mut QuarantineRecord,
    ) -> BTreeMap<CallId, QuarantinedCall> {
        let mut chosen = BTreeMap::new();
        for id in &self.quarantine.waiting {
            let Some(server) = self.quarantine_server(now, *id, next) else {
                continue;
            };
            let fingerprint = self.calls.get(*id).map_or(0, |call| call.fingerprint);
            if self.crash_limit_refusal(now, fingerprint).is_some() {
                continue;
            }
            let quarantined = QuarantinedCall {
                server,
                fingerprint,
                cleared_at: None,
            };
            if !self.quarantine.has(fingerprint)
                && next.add(self.quarantine_entry(*id, &quarantined))
            {
                chosen.insert(*id, quarantined);
            }
        }
        chosen
    }

    /// Returns the engine on which a quarantined call would affect the fewest others.
    fn quarantine_server(
        &self,
        now: Time,
        id: CallId,
        content: &QuarantineRecord,
    ) -> Option<ServerKey> {
        self.quarantine_engines(id)
            .into_iter()
            .filter(|key| !self.quarantine.is_busy(*key))
            .filter(|key| !content.is_busy(&self.fleet.server(*key).name))
            .min_by_key(|key| {
                let suspect = self.fleet.server(*key).suspect_until > now;
                (suspect, self.calls.count_running_at(*key), *key)
            })
    }

    /// Returns the engines on which the call has not failed yet.
    fn quarantine_engines(&self, id: CallId) -> Vec<ServerKey> {
        let Some(call) = self.calls.get(id) else {
            return Vec::new();
        };
        let Target::Engine(request) = &call.target else {
            return Vec::new();
        };
        let mut engines = self.engines(request.workspace, request.model);
        engines.retain(|key| !call.failed_servers.contains(key));
        engines
    }

    fn start_quarantined(
        &mut self,
        now: Time,
        chosen: BTreeMap<CallId, QuarantinedCall>,
        out: &mut Vec<Action>,
    ) {
        for (id, quarantined) in chosen {
            self.quarantine.waiting.remove(&id);
            let Some(call) = self.calls.get(id) else {
                continue;
            };
            if let Some(cause) = self.crash_limit_refusal(now, call.fingerprint) {
                self.refuse(id, cause, out);
                continue;
            }
            if now >= call.deadline && call.delivered == 0 {
                let cause = RefusalCause::permanent(Reason::DeadlinePassed);
                self.refuse(id, cause, out);
                continue;
            }
            self.quarantine.running.insert(id, quarantined);
            self.send_to_server(now, id, quarantined.server, out);
        }
    }
}
