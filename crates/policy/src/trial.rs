//! Trials of requests that ran on a runner that broke.
//!
//! Most of them are innocent: they shared the runner with the one request that
//! broke it. Each is run again alone, in the sense that no other such request
//! runs at the same runner, whichever router has it. A request that breaks a
//! second runner is therefore the culprit; the others get through.
//!
//! Without the platform a router keeps its own trials apart, but not those of
//! other routers.

use std::collections::BTreeMap;

use crate::arrive::COME_BACK_MS;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::overload::NotNow;
use crate::shared_record::Settled;
use crate::timers::Timer;
use crate::trial_record::Trial;
use crate::trial_record::TrialRecord;
use crate::trials::OnTrial;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::OpId;
use crate::Reason;
use crate::ServerKey;
use crate::StoreResult;
use crate::Time;

/// Pause between two looks at the trials, in milliseconds.
const LOOK_MS: u64 = 50;

/// Time for which a router waits to hear who else ran on a broken runner before
/// it blames a request for the last runner it may break, in milliseconds.
const JUDGE_AFTER_MS: u64 = 300;

/// Time after its first token from which a request counts as harmless, in milliseconds.
const CLEARED_AFTER_MS: u64 = 200;

impl Node {
    /// Tells whether a call may only run on trial.
    pub(crate) fn needs_trial(&self, now: Time, id: CallId) -> bool {
        if self.is_off(Mutation::SkipStrikes) {
            return false;
        }
        self.calls.get(id).is_some_and(|call| {
            matches!(call.target, Target::Engine(_))
                && self.strikes.count(now, call.fingerprint) > 0
        })
    }

    /// Tells whether a request has broken too many runners to be run again.
    pub(crate) fn struck_out(&self, now: Time, fingerprint: u64) -> Option<NotNow> {
        if self.is_off(Mutation::SkipStrikes) {
            return None;
        }
        if self.strikes.broken_runners(now, fingerprint) < self.crash_limit() {
            return None;
        }
        Some(NotNow {
            reason: Reason::CrashedEngines,
            retry_at: self.strikes.forgiven_at(fingerprint),
        })
    }

    /// Returns how many runners one request may break.
    pub(crate) fn crash_limit(&self) -> u32 {
        let cfg = self.rollout.config();
        cfg.map_or(u32::MAX, |cfg| cfg.limits.crashes_per_request)
    }

    /// Has a call wait for its trial.
    pub(crate) fn wait_for_trial(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self.calls.get_mut(id).expect("only live calls are tried");
        call.stage = Stage::AwaitingTrial;
        self.trials.waiting.insert(id);
        self.look_at_trials(now, out);
    }

    /// Takes in that a call on trial has its first token.
    pub(crate) fn on_trial_token(&mut self, now: Time, id: CallId) {
        if let Some(trial) = self.trials.running.get_mut(&id) {
            trial.cleared_at = Some(now.plus_millis(CLEARED_AFTER_MS));
        }
    }

    /// Looks at the trials and does what is due.
    pub(crate) fn on_trials_due(&mut self, now: Time, out: &mut Vec<Action>) {
        self.trials.scheduled = false;
        if !self.trials.waiting.is_empty() && !self.trials.record.is_pending() {
            self.trials.record.forget();
        }
        self.trials
            .running
            .retain(|_, trial| trial.cleared_at.is_none_or(|at| now < at));
        self.look_at_trials(now, out);
    }

    /// Takes in the result of a call about the record; tells whether it was one.
    pub(crate) fn on_trials_result(
        &mut self,
        now: Time,
        op: OpId,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) -> bool {
        let settled = self.trials.record.settle(op, result);
        if settled == Settled::NotOurs {
            return false;
        }
        let starting = std::mem::take(&mut self.trials.starting);
        let written = matches!(result, StoreResult::Written { .. });
        if written || settled == Settled::Unavailable {
            self.start_trials(now, starting, out);
        } else {
            self.trials.waiting.extend(starting.into_keys());
        }
        if settled == Settled::Unavailable {
            let chosen = self.choose_trials(now, &mut TrialRecord::default());
            self.start_trials(now, chosen, out);
        } else {
            self.look_at_trials(now, out);
        }
        true
    }

    fn look_at_trials(&mut self, now: Time, out: &mut Vec<Action>) {
        self.judge_waiting(now, out);
        let holder = self.holder();
        if self.trials.is_idle(&holder) {
            self.trials.record.forget();
            return;
        }
        if !self.trials.scheduled {
            self.trials.scheduled = true;
            self.timers.add(now.plus_millis(LOOK_MS), Timer::Trials);
        }
        if self.trials.record.is_pending() {
            return;
        }
        match self.trials.record.content().cloned() {
            None => self.read_trials(out),
            Some(content) => self.advance_trials(now, &content, out),
        }
    }

    /// Lets waiting calls go that another one is to blame for, and refuses those
    /// that have broken too many runners or have nowhere to go.
    fn judge_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.trials.waiting.clone() {
            let fingerprint = self.calls.get(id).map_or(0, |call| call.fingerprint);
            if self.strikes.count(now, fingerprint) == 0 {
                self.trials.waiting.remove(&id);
                self.route(now, id, out);
            } else if let Some(not_now) = self.judge(now, id, fingerprint) {
                self.refuse(id, not_now, out);
            }
        }
    }

    fn judge(&self, now: Time, id: CallId, fingerprint: u64) -> Option<NotNow> {
        if self.trial_engines(id).is_empty() {
            let soon = now.plus_millis(COME_BACK_MS);
            return Some(NotNow::until(soon, Reason::NoBackendServer));
        }
        let last_at = self.strikes.last_at(fingerprint).unwrap_or_default();
        if now < last_at.plus_millis(JUDGE_AFTER_MS) {
            return None;
        }
        self.struck_out(now, fingerprint)
    }

    fn read_trials(&mut self, out: &mut Vec<Action>) {
        let op = self.store_ops.name();
        let request = self.trials.record.read(op);
        out.push(Action::Store { op, request });
    }

    fn advance_trials(&mut self, now: Time, content: &TrialRecord, out: &mut Vec<Action>) {
        let holder = self.holder();
        let mut next = content.clone();
        next.drop_over(now, &holder, |trial| !self.trials.has(trial.fingerprint));
        let chosen = self.choose_trials(now, &mut next);
        if next == *content {
            return;
        }
        for id in chosen.keys() {
            self.trials.waiting.remove(id);
        }
        self.trials.starting = chosen;
        let op = self.store_ops.name();
        let request = self.trials.record.write(op, next);
        out.push(Action::Store { op, request });
    }

    fn trial_entry(&self, id: CallId, trial: &OnTrial) -> Trial {
        let until = self.calls.get(id).map_or(Time::default(), |c| c.deadline);
        Trial {
            server: self.fleet.server(trial.server).name.clone(),
            fingerprint: trial.fingerprint,
            holder: self.holder(),
            until: until.plus_millis(CLEARED_AFTER_MS),
        }
    }

    /// Chooses a server for as many waiting calls as servers are free of trials,
    /// and enters them into `next`.
    fn choose_trials(&self, now: Time, next: &mut TrialRecord) -> BTreeMap<CallId, OnTrial> {
        let mut chosen = BTreeMap::new();
        for id in &self.trials.waiting {
            let Some(server) = self.trial_server(now, *id, next) else {
                continue;
            };
            let fingerprint = self.calls.get(*id).map_or(0, |call| call.fingerprint);
            if self.struck_out(now, fingerprint).is_some() {
                continue;
            }
            let trial = OnTrial {
                server,
                fingerprint,
                cleared_at: None,
            };
            if !self.trials.has(fingerprint) && next.add(self.trial_entry(*id, &trial)) {
                chosen.insert(*id, trial);
            }
        }
        chosen
    }

    /// Returns the server where a call on trial can hurt the fewest others.
    fn trial_server(&self, now: Time, id: CallId, content: &TrialRecord) -> Option<ServerKey> {
        self.trial_engines(id)
            .into_iter()
            .filter(|key| !self.trials.is_busy(*key))
            .filter(|key| !content.is_busy(&self.fleet.server(*key).name))
            .min_by_key(|key| {
                let suspect = self.fleet.server(*key).suspect_until > now;
                (suspect, self.calls.count_at(*key), *key)
            })
    }

    /// Returns the engines that a call may still be tried at.
    fn trial_engines(&self, id: CallId) -> Vec<ServerKey> {
        let Some(call) = self.calls.get(id) else {
            return Vec::new();
        };
        let Target::Engine(ask) = &call.target else {
            return Vec::new();
        };
        let mut engines = self.engines(ask.workspace, ask.model);
        engines.retain(|key| !call.failed_at.contains(key));
        engines
    }

    fn start_trials(
        &mut self,
        now: Time,
        chosen: BTreeMap<CallId, OnTrial>,
        out: &mut Vec<Action>,
    ) {
        for (id, trial) in chosen {
            self.trials.waiting.remove(&id);
            let Some(call) = self.calls.get(id) else {
                continue;
            };
            if let Some(not_now) = self.struck_out(now, call.fingerprint) {
                self.refuse(id, not_now, out);
                continue;
            }
            if now >= call.deadline && call.delivered == 0 {
                let not_now = NotNow::for_good(Reason::DeadlinePassed);
                self.refuse(id, not_now, out);
                continue;
            }
            self.trials.running.insert(id, trial);
            self.send_to(now, id, trial.server, out);
        }
    }
}
