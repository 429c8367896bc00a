//! Choice of a server for a call, and dispatch of the attempt.

use crate::action::FetchFrom;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::mutation::Mutation;
use crate::overload::RefusalCause;
use crate::placement::Choice;
use crate::placement::PlacementRequest;
use crate::Action;
use crate::Attempt;
use crate::CallId;
use crate::Dispatch;
use crate::Incarnation;
use crate::Node;
use crate::Reason;
use crate::ServerKey;
use crate::Time;

/// Where an attempt goes and the conditions it depends on.
struct DispatchPlan {
    server: ServerKey,
    incarnation: Incarnation,
    weights_version: u64,
    fetch_from: Option<FetchFrom>,
    expected_cached_tokens: u64,
    /// Time at which the response is expected to begin.
    expected_at: Time,
}

impl Node {
    /// Dispatches a call to the best server, or refuses it.
    pub(crate) fn route(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        if self.needs_quarantine(now, id) {
            self.await_quarantine(now, id, out);
            return;
        }
        let call = self.calls.get(id).expect("only live calls are routed");
        let plan = match &call.target {
            Target::Engine(_) => {
                self.place(now, id, out);
                return;
            }
            Target::Stream {
                server,
                incarnation,
            } => Ok(DispatchPlan::plain(now, *server, *incarnation)),
            Target::Service(service) => self
                .best_replica(now, id, service, &call.failed_servers)
                .map(|server| DispatchPlan::plain(now, server, Incarnation::default()))
                .ok_or(RefusalCause::permanent(Reason::NoBackendServer)),
        };
        match plan {
            Ok(plan) => self.dispatch(now, id, plan, out),
            Err(cause) => self.refuse(id, cause, out),
        }
    }

    /// Dispatches a call to the chosen engine unless the expected wait is too
    /// long.
    ///
    /// `cell` is the engine's cell if this router made the choice itself.
    pub(crate) fn send_to_choice(
        &mut self,
        now: Time,
        id: CallId,
        cell: Option<u64>,
        choice: Choice,
        out: &mut Vec<Action>,
    ) {
        if self.needs_quarantine(now, id) {
            self.await_quarantine(now, id, out);
            return;
        }
        let call = self.calls.get(id).expect("only live calls are sent");
        let Target::Engine(request) = &call.target else {
            return;
        };
        if let Err(cause) = self.check_wait(now, call, &choice) {
            self.refuse(id, cause, out);
            return;
        }
        let plan = self.plan_of(choice, request);
        let plan = match call.any_weights {
            true => plan.with_any_weights(),
            false => plan,
        };
        if let Some(cell) = cell {
            self.placement.on_sent(now, cell, request, &choice);
        }
        self.dispatch(now, id, plan, out);
    }

    /// Applies the number of tokens that an engine found in its cache.
    pub(crate) fn on_cached(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        cached_tokens: u64,
    ) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let expected = std::mem::replace(&mut call.expected_cached_tokens, cached_tokens);
        if let Target::Engine(request) = &call.target {
            let missed = expected.saturating_sub(cached_tokens);
            let missed_us = missed as f64 * request.prefill_us_per_token;
            self.placement.on_cache_miss(now, server, missed_us as u64);
        }
    }

    fn plan_of(&self, choice: Choice, request: &PlacementRequest) -> DispatchPlan {
        let fetch_from = choice.fetch_from.map(|key| FetchFrom {
            address: self.fleet.server(key).address,
            incarnation: self.fleet.server(key).incarnation,
        });
        DispatchPlan {
            server: choice.server,
            incarnation: self.fleet.server(choice.server).incarnation,
            weights_version: request.weights_version,
            fetch_from,
            expected_cached_tokens: choice.expected_cached_tokens,
            expected_at: choice.first_token_at,
        }
    }

    /// Dispatches a call to a given engine without checking the expected wait.
    pub(crate) fn send_to_server(
        &mut self,
        now: Time,
        id: CallId,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let call = self.calls.get(id).expect("only live calls are sent");
        let incarnation = self.fleet.server(server).incarnation;
        let Target::Engine(request) = &call.target else {
            return;
        };
        let weights_version = if call.any_weights {
            0
        } else {
            request.weights_version
        };
        let prefill_us = request.prompt_tokens as f64 * request.prefill_us_per_token;
        let expected_at = now.plus_micros(prefill_us as u64);
        let plan = DispatchPlan {
            weights_version,
            expected_at,
            ..DispatchPlan::plain(now, server, incarnation)
        };
        self.dispatch(now, id, plan, out);
    }

    fn dispatch(&mut self, now: Time, id: CallId, plan: DispatchPlan, out: &mut Vec<Action>) {
        self.on_admitted(now, id);
        let known = match plan.incarnation {
            Incarnation(0) => self.fleet.server(plan.server).incarnation,
            expected => expected,
        };
        let call = self.calls.get_mut(id).expect("only live calls are sent");
        call.progress = call.take_progress().sent();
        call.attempt.0 += 1;
        call.incarnation = known;
        call.stage = Stage::Running {
            server: plan.server,
            started: false,
        };
        call.expected_cached_tokens = plan.expected_cached_tokens;
        if let Target::Service(_) = &call.target {
            self.replica_loads.on_sent(plan.server);
        }
        let incarnation = match self.has_mutation(Mutation::IgnoreIncarnation) {
            true => Incarnation::default(),
            false => plan.incarnation,
        };
        let call = self.calls.get_mut(id).expect("only live calls are sent");
        let server = self.fleet.server(plan.server);
        out.push(Action::Dispatch(Dispatch {
            at: Attempt {
                call: id,
                attempt: call.attempt,
                server: plan.server,
            },
            server_name: server.name.clone(),
            address: server.address,
            incarnation,
            weights_version: plan.weights_version,
            workspace: self.fleet.workspaces.name(call.workspace).to_string(),
            rank: call.rank,
            resume_after: call.delivered,
            fetch_from: plan.fetch_from,
            expected_cached_tokens: plan.expected_cached_tokens,
        }));
        self.schedule_stall_check(now, id, plan.expected_at);
    }
}

impl DispatchPlan {
    /// Accepts whatever weights the engine holds, and expects no cached tokens.
    fn with_any_weights(self) -> DispatchPlan {
        DispatchPlan {
            weights_version: 0,
            fetch_from: None,
            expected_cached_tokens: 0,
            ..self
        }
    }

    fn plain(now: Time, server: ServerKey, incarnation: Incarnation) -> DispatchPlan {
        DispatchPlan {
            server,
            incarnation,
            weights_version: 0,
            fetch_from: None,
            expected_cached_tokens: 0,
            expected_at: now,
        }
    }
}
