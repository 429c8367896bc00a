//! Choice of a server for a call, and its dispatch.

use crate::action::FetchFrom;
use crate::arrive::COME_BACK_MS;
use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::overload::NotNow;
use crate::placement::Ask;
use crate::placement::Choice;
use crate::Action;
use crate::Attempt;
use crate::CallId;
use crate::Dispatch;
use crate::Incarnation;
use crate::Node;
use crate::Reason;
use crate::ServerKey;
use crate::Time;

/// Where an attempt goes and what it relies on.
struct Aim {
    server: ServerKey,
    incarnation: Incarnation,
    weights_version: u64,
    fetch_from: Option<FetchFrom>,
    expected_cached_tokens: u64,
}

impl Node {
    /// Sends a call to the best server, or refuses it.
    pub(crate) fn route(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        if self.needs_trial(now, id) {
            self.wait_for_trial(now, id, out);
            return;
        }
        let call = self.calls.get(id).expect("only live calls are routed");
        let aim = match &call.target {
            Target::Engine(ask) => self.aim_at_engine(now, call, ask),
            Target::Stream {
                server,
                incarnation,
            } => Ok(Aim::plain(*server, *incarnation)),
            Target::Service(service) => self
                .best_replica(now, id, service, &call.failed_at)
                .map(|server| Aim::plain(server, Incarnation::default()))
                .ok_or(NotNow::for_good(Reason::NoBackendServer)),
        };
        match aim {
            Ok(aim) => self.dispatch(now, id, aim, out),
            Err(not_now) => self.refuse(id, not_now, out),
        }
    }

    fn aim_at_engine(&self, now: Time, call: &Call, ask: &Ask) -> Result<Aim, NotNow> {
        let mut candidates = self.fleet.engines(ask.workspace, ask.model);
        candidates.retain(|key| !call.failed_at.contains(key));
        let soon = now.plus_millis(COME_BACK_MS);
        let choice = self
            .placement
            .choose(now, ask, &candidates, &self.fleet)
            .ok_or(NotNow::until(soon, Reason::NoBackendServer))?;
        self.admits(now, call, &choice)?;
        let aim = self.aim_of(choice, ask);
        Ok(if call.any_weights {
            aim.with_any_weights()
        } else {
            aim
        })
    }

    fn aim_of(&self, choice: Choice, ask: &Ask) -> Aim {
        let fetch_from = choice.fetch_from.map(|key| FetchFrom {
            address: self.fleet.server(key).address,
            incarnation: self.fleet.server(key).incarnation,
        });
        Aim {
            server: choice.server,
            incarnation: self.fleet.server(choice.server).incarnation,
            weights_version: ask.weights_version,
            fetch_from,
            expected_cached_tokens: choice.expected_cached_tokens,
        }
    }

    /// Sends a call to an engine that was chosen for another reason than its load.
    pub(crate) fn send_to(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let call = self.calls.get(id).expect("only live calls are sent");
        let incarnation = self.fleet.server(server).incarnation;
        let weights_version = match &call.target {
            Target::Engine(ask) if !call.any_weights => ask.weights_version,
            _ => 0,
        };
        let aim = Aim {
            weights_version,
            ..Aim::plain(server, incarnation)
        };
        self.dispatch(now, id, aim, out);
    }

    fn dispatch(&mut self, now: Time, id: CallId, aim: Aim, out: &mut Vec<Action>) {
        self.on_admitted(now, id);
        let known = match aim.incarnation {
            Incarnation(0) => self.fleet.server(aim.server).incarnation,
            named => named,
        };
        let call = self.calls.get_mut(id).expect("only live calls are sent");
        call.progress = call.take_progress().sent();
        call.attempt.0 += 1;
        call.incarnation = known;
        call.stage = Stage::Running {
            server: aim.server,
            started: false,
        };
        match &call.target {
            Target::Engine(ask) => self.placement.on_sent(aim.server, ask),
            Target::Service(_) => self.replica_loads.on_sent(aim.server),
            Target::Stream { .. } => {}
        }
        let incarnation = match self.is_off(Mutation::IgnoreIncarnation) {
            true => Incarnation::default(),
            false => aim.incarnation,
        };
        let call = self.calls.get_mut(id).expect("only live calls are sent");
        let server = self.fleet.server(aim.server);
        out.push(Action::Dispatch(Dispatch {
            at: Attempt {
                call: id,
                attempt: call.attempt,
                server: aim.server,
            },
            server_name: server.name.clone(),
            address: server.address,
            incarnation,
            weights_version: aim.weights_version,
            workspace: self.fleet.workspaces.name(call.workspace).to_string(),
            rank: call.rank,
            resume_after: call.delivered,
            fetch_from: aim.fetch_from,
            expected_cached_tokens: aim.expected_cached_tokens,
        }));
    }
}

impl Aim {
    /// Has whatever weights the engine holds serve it, relying on no cache entry.
    fn with_any_weights(self) -> Aim {
        Aim {
            weights_version: 0,
            fetch_from: None,
            expected_cached_tokens: 0,
            ..self
        }
    }

    fn plain(server: ServerKey, incarnation: Incarnation) -> Aim {
        Aim {
            server,
            incarnation,
            weights_version: 0,
            fetch_from: None,
            expected_cached_tokens: 0,
        }
    }
}
