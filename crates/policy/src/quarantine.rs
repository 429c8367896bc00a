//! Requests that were running on a runner when it broke.
//!
//! One of them may have broken it. They are tried again after a short pause, in
//! which the routers tell each other which requests were struck together, and
//! each on a runner of its own: the one that breaks its runner again does so
//! without the others of the first time.

use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::overload::NotNow;
use crate::timers::Timer;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::PeerMessage;
use crate::Reason;
use crate::ServerKey;
use crate::ServerMark;
use crate::Strike;
use crate::Time;

/// Pause before a struck request is tried again, in milliseconds.
const PAUSE_MS: u64 = 50;

/// Time between struck requests that have to share a runner, in milliseconds.
const TURN_MS: u64 = 2_000;

impl Node {
    /// Counts a runner that broke against a call that it ran.
    pub(crate) fn strike(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let call = self.calls.get(id).expect("it was found before");
        if !matches!(call.target, Target::Engine(_)) {
            return;
        }
        let strike = Strike {
            fingerprint: call.fingerprint,
            mark: ServerMark {
                server: self.fleet.server(server).name.clone(),
                incarnation: call.incarnation,
            },
            at_ms: now.as_millis(),
        };
        if self.strikes.add(&strike) {
            self.tell_all(&PeerMessage::Strikes(vec![strike]), out);
            self.record_strikes(out);
        }
    }

    /// Takes strikes of other routers in and passes on what is news.
    pub(crate) fn on_strikes(&mut self, now: Time, strikes: &[Strike], out: &mut Vec<Action>) {
        let news: Vec<Strike> = strikes
            .iter()
            .filter(|strike| self.strikes.add_live(now, strike))
            .cloned()
            .collect();
        if news.is_empty() {
            return;
        }
        let message = PeerMessage::Strikes(news);
        for vm in self.some_routers() {
            self.tell(&vm, message.clone(), out);
        }
    }

    /// Returns why a request that broke too many runners is not sent.
    pub(crate) fn struck_out(&self, now: Time, call: &Call) -> Option<NotNow> {
        let most = self.rollout.config()?.limits.crashes_per_request;
        let engine = matches!(call.target, Target::Engine(_));
        if !engine || self.is_off(Mutation::SkipStrikes) {
            return None;
        }
        let struck = self.strikes.count(now, call.fingerprint) >= most;
        struck.then(|| NotNow {
            reason: Reason::CrashedRunners,
            retry_at: self.strikes.forgiven_at(call.fingerprint),
        })
    }

    /// Has a call wait before it is tried again, if it was struck.
    pub(crate) fn pause_if_struck(&mut self, now: Time, id: CallId) -> bool {
        let call = self.calls.get_mut(id).expect("it was found before");
        let engine = matches!(call.target, Target::Engine(_));
        if !engine || self.strikes.count(now, call.fingerprint) == 0 {
            return false;
        }
        call.stage = Stage::Pausing;
        self.timers.add(now.plus_millis(PAUSE_MS), Timer::Retry(id));
        true
    }

    /// Tries a struck call again once its turn has come.
    pub(crate) fn on_retry(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id).filter(|c| c.stage == Stage::Pausing) else {
            return;
        };
        let turn_at = self.turn_at(now, call);
        if turn_at > now {
            self.timers.add(turn_at, Timer::Retry(id));
            return;
        }
        self.route(now, id, out);
    }

    /// Returns when a struck call's turn comes: at once, unless more requests
    /// were struck together than there are runners.
    fn turn_at(&self, now: Time, call: &Call) -> Time {
        let (Target::Engine(ask), Some(struck)) =
            (&call.target, self.strikes.together(now, call.fingerprint))
        else {
            return now;
        };
        let mut runners = self.fleet.engines(ask.workspace, ask.model);
        runners.retain(|key| !call.failed_at.contains(key));
        let turn = struck.place / runners.len().max(1);
        struck.at.plus_millis(turn as u64 * TURN_MS)
    }

    /// Leaves a struck call the one runner that no other request that was
    /// struck with it is tried on.
    pub(crate) fn keep_apart(&self, now: Time, call: &Call, runners: &mut Vec<ServerKey>) {
        let Some(struck) = self.strikes.together(now, call.fingerprint) else {
            return;
        };
        if runners.is_empty() {
            return;
        }
        runners.sort_by(|a, b| self.fleet.server(*a).name.cmp(&self.fleet.server(*b).name));
        let place = struck.place % runners.len();
        *runners = vec![runners[place]];
    }
}
