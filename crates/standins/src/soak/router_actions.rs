//! What routers do: actions of their state machines, carried out in simulated time.

use policy::Action;
use policy::Attempt;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Outcome;
use policy::PeerMessage;
use policy::Reason;
use policy::Refusal;
use policy::StoreRequest;
use policy::StoreResult;
use policy::StoredResponse;

use crate::soak::config;
use crate::soak::network::Endpoint;
use crate::soak::request::RequestKind;
use crate::soak::routers::endpoint_of;
use crate::soak::routers::CALLER_LATENCY_US;
use crate::soak::scheduled_event::Boot;
use crate::soak::scheduled_event::CallerResult;
use crate::soak::scheduled_event::Conn;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Timeout of a router's call to the key-value service, in microseconds.
const STORE_TIMEOUT_US: u64 = 1_000_000;

impl World {
    pub(crate) fn execute_action(&mut self, boot: Boot, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(boot, dispatch),
            Action::Cancel(at) => self.cancel(boot, at),
            Action::Refuse { call, refusal } => self.refuse(boot, call, refusal),
            Action::Respond {
                call,
                response,
                replayed,
            } => self.respond(boot, call, response, replayed),
            Action::Store { op, request } => self.call_store(boot, op, request),
            Action::SendPeer { to, message, .. } => self.send_peer(boot, &to, message),
            Action::ConfigApplied { version } => self.on_config_applied(boot, version),
            Action::Watch(engines) => {
                self.vms[boot.router].watched = engines.into_iter().collect();
            }
            Action::Stopped => self.on_stopped(boot),
            Action::Order(_) => self.count("orders"),
            Action::Retried { .. } => self.count("retries"),
            Action::LateReport { .. } => self.count("late_answers_dropped"),
        }
    }

    fn dispatch(&mut self, boot: Boot, dispatch: Dispatch) {
        let Attempt { call, attempt, .. } = dispatch.at;
        let conn = Conn {
            from: boot,
            call,
            attempt,
        };
        self.add_trace_line(format!(
            "router {} sends {call:?} {attempt:?} to {} ({:?}) after {}",
            boot.router, dispatch.server_name, dispatch.incarnation, dispatch.resume_after
        ));
        let vm = &mut self.vms[boot.router];
        if vm.completed_streams.contains(&call) {
            self.count("sent_after_end");
            return;
        }
        let Some(router_call) = vm.calls.get_mut(&call) else {
            let details = format!("{conn:?} was sent after the call had ended");
            self.ledger
                .report_violation(Guarantee::WholeAnswer, details);
            return;
        };
        router_call.attempt = attempt;
        router_call.failed = false;
        router_call.server = Some(dispatch.server_name.clone());
        let request = router_call.request;
        let sent = self
            .requests
            .get_mut(&request)
            .expect("requests are never removed");
        sent.attempt = attempt;
        let fingerprint = sent.fingerprint;
        let crashes_knowable = self.could_know_crashes(fingerprint, boot.router);
        let sent = self
            .requests
            .get_mut(&request)
            .expect("requests are never removed");
        sent.crashes_knowable = crashes_knowable;
        self.check_dispatch(boot, &dispatch, request);
        self.send_attempt(conn, dispatch, request);
    }

    /// Sends an attempt to its server, which it reaches unless the network or a fault prevents it.
    fn send_attempt(&mut self, conn: Conn, dispatch: Dispatch, request: u64) {
        let to = endpoint_of(&dispatch.server_name);
        let from = Endpoint::Router(conn.from.router);
        if !self.network.connects(self.now, from, to) {
            self.report_failure_after_us(100_000, conn, Failure::NotConnected);
            return;
        }
        if self.injects_minor_faults() && self.one_in(60) {
            let us = self.random_below(500_000);
            self.count("false_breaks");
            self.report_failure_after_us(us, conn, Failure::Broken);
        }
        let us = self.network.latency_us(from, to);
        let arrival = match to {
            Endpoint::Replica(replica) => ScheduledEvent::ReplicaStart {
                conn,
                replica,
                request,
            },
            _ => ScheduledEvent::EngineStart {
                conn,
                dispatch,
                request,
            },
        };
        self.schedule_after_us(us, arrival);
    }

    fn cancel(&mut self, boot: Boot, at: Attempt) {
        let conn = Conn {
            from: boot,
            call: at.call,
            attempt: at.attempt,
        };
        let Some(call) = self.vms[boot.router].calls.get(&at.call) else {
            return;
        };
        let Some(Endpoint::Engine(engine)) = call.server.as_deref().map(endpoint_of) else {
            return;
        };
        self.schedule_after_us(
            CALLER_LATENCY_US,
            ScheduledEvent::EngineCancel { conn, engine },
        );
    }

    fn refuse(&mut self, boot: Boot, call: CallId, refusal: Refusal) {
        self.add_trace_line(format!(
            "router {} refuses {call:?}: {} {}",
            boot.router,
            refusal.reason().name(),
            refusal.outcome().name()
        ));
        let vm = &mut self.vms[boot.router];
        if vm.completed_streams.contains(&call) {
            self.count("refused_after_end");
            return;
        }
        let Some(router_call) = vm.calls.remove(&call) else {
            let details = format!("{boot:?} {call:?} got a second final answer");
            self.ledger
                .report_violation(Guarantee::WholeAnswer, details);
            return;
        };
        let request = router_call.request;
        if refusal.outcome() == Outcome::NotRun {
            let key = match &self.requests[&request].kind {
                RequestKind::Booking { key } => Some(key.clone()),
                RequestKind::Stream { .. } | RequestKind::Lookup => None,
            };
            self.ledger.on_not_run(boot, call, key.as_deref());
        }
        self.check_restart(boot, refusal);
        let before_deadline = self.now < self.vms[boot.router].stop_deadline;
        if before_deadline
            && router_call.server.is_some()
            && refusal.reason() == Reason::ShuttingDown
        {
            let details = format!("{boot:?} {call:?} was cut by a graceful stop");
            self.ledger
                .report_violation(Guarantee::GracefulStop, details);
        }
        let result = CallerResult::Refused(refusal);
        self.schedule_after_us(
            CALLER_LATENCY_US,
            ScheduledEvent::CallerResult { request, result },
        );
    }

    fn respond(&mut self, boot: Boot, call: CallId, response: StoredResponse, replayed: bool) {
        self.add_trace_line(format!("router {} answers {call:?}", boot.router));
        let Some(router_call) = self.vms[boot.router].calls.remove(&call) else {
            let details = format!("{boot:?} {call:?} got a second final answer");
            self.ledger
                .report_violation(Guarantee::WholeAnswer, details);
            return;
        };
        let request = router_call.request;
        let result = CallerResult::Responded { response, replayed };
        self.schedule_after_us(
            CALLER_LATENCY_US,
            ScheduledEvent::CallerResult { request, result },
        );
    }

    fn call_store(&mut self, boot: Boot, op: policy::OpId, request: StoreRequest) {
        let (from, to) = (Endpoint::Router(boot.router), Endpoint::Platform);
        self.count(match request {
            StoreRequest::Get { .. } => "store_reads",
            StoreRequest::CompareAndSwap { .. } => "store_writes",
        });
        if !self.network.delivers(self.now, from, to) {
            let result = StoreResult::Unavailable;
            self.send_event_after_us(STORE_TIMEOUT_US, boot, Event::Store { op, result });
            return;
        }
        let slow = self.store.slow_until > self.now;
        let us = 500 + self.random_below(if slow { 3_000_000 } else { 1_500 });
        self.schedule_after_us(us, ScheduledEvent::Store { boot, op, request });
        let result = StoreResult::ResponseLost;
        self.send_event_after_us(STORE_TIMEOUT_US, boot, Event::Store { op, result });
    }

    fn send_peer(&mut self, boot: Boot, to_vm: &str, message: PeerMessage) {
        let to = config::index_of(to_vm);
        let (a, b) = (Endpoint::Router(boot.router), Endpoint::Router(to));
        self.count("peer_messages");
        if self.network.delivers(self.now, a, b) {
            let us = self.network.latency_us(a, b) + self.random_below(500);
            let from = boot.router;
            self.schedule_after_us(us, ScheduledEvent::Peer { to, from, message });
        }
    }

    /// Records and checks a configuration that a router applied; the workspace's share
    /// identifies its content.
    fn on_config_applied(&mut self, boot: Boot, version: u64) {
        let vm = &mut self.vms[boot.router];
        let node = vm.node.as_ref().expect("the router process is running");
        let share = node.config().map_or(0, |cfg| {
            let workspace = &cfg.workspaces[config::WORKSPACE];
            u64::from(workspace.share)
        });
        let previous = vm.version;
        vm.version = version;
        if previous == 0 {
            vm.mark_disturbed(self.now);
        }
        self.add_trace_line(format!("router {} has version {version}", boot.router));
        self.ledger
            .on_config_applied(boot, previous, version, share);
    }

    fn on_stopped(&mut self, boot: Boot) {
        self.add_trace_line(format!("router {} has stopped", boot.router));
        let open = self.vms[boot.router].calls.len();
        if open > 0 {
            let details = format!("{boot:?} stopped with {open} calls in flight");
            self.ledger
                .report_violation(Guarantee::GracefulStop, details);
        }
        self.stop_router(boot.router);
        let us = 300_000 + self.random_below(2_000_000);
        self.schedule_after_us(us, ScheduledEvent::RouterUp(boot.router));
    }
}
