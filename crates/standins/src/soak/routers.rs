//! Router processes: passes events to the state machines and executes their actions.

use policy::Action;
use policy::Attempt;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Identity;
use policy::Incarnation;
use policy::Node;
use policy::Outcome;
use policy::PeerMessage;
use policy::Reason;
use policy::Refusal;
use policy::StoreRequest;
use policy::StoreResult;
use policy::StoredResponse;
use policy::Time;
use policy::TokenAction;

use crate::soak::config;
use crate::soak::engine::Token;
use crate::soak::network::Endpoint;
use crate::soak::request::RequestKind;
use crate::soak::router_vm::RouterVm;
use crate::soak::scheduled_event::Boot;
use crate::soak::scheduled_event::CallerResult;
use crate::soak::scheduled_event::Conn;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Latency between a caller and a router, in microseconds.
pub(crate) const CALLER_LATENCY_US: u64 = 1_000;

/// Time without a response after which a router treats a connection as broken, in microseconds.
pub(crate) const CONNECTION_TIMEOUT_US: u64 = 400_000;

/// Timeout of a router's call to the key-value service, in microseconds.
const STORE_TIMEOUT_US: u64 = 1_000_000;

/// Time for which a started router may refuse calls for lack of a configuration, in milliseconds.
const CONFIG_GRACE_MS: u64 = 500;

/// Time within which a router reads the configuration if store and watch work, in milliseconds.
const CONFIG_READ_MS: u64 = 1_500;

/// Time after which every router's membership list shows a started router, in
/// milliseconds: lists are up to 10 s old and are fetched about once a second.
const MEMBER_LIST_LAG_MS: u64 = 12_000;

/// Time after which a leaving engine must get no new work, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

impl World {
    /// Starts a router's process unless it runs.
    pub(crate) fn on_router_up(&mut self, router: usize) {
        let seed = self.random_below(u64::MAX);
        let vm = &mut self.vms[router];
        if vm.node.is_some() {
            return;
        }
        let domain = router % 3;
        let identity = Identity {
            vm: config::vm_name(router),
            region: format!("region{domain}"),
            failure_domain: format!("domain{domain}"),
            incarnation: vm.boot.boot + 1,
        };
        let node = Node::new(identity, seed).with_mutation(self.settings.mutation);
        vm.start(self.now, node);
        let boot = vm.boot;
        self.add_trace_line(format!("router {router} starts, boot {}", boot.boot));
        self.record_members();
        self.schedule_after_us(2_000, ScheduledEvent::Membership(router));
        self.schedule_after_us(5_000, ScheduledEvent::Watch(router));
        self.schedule_after_us(0, ScheduledEvent::Tick(boot));
    }

    /// Ends a router's process at once; its callers lose their connections.
    pub(crate) fn stop_router(&mut self, router: usize) {
        let lost_requests = self.vms[router].stop(self.now);
        for request in lost_requests {
            let result = CallerResult::ConnectionLost;
            self.schedule_after_us(
                CALLER_LATENCY_US,
                ScheduledEvent::CallerResult { request, result },
            );
        }
        for engine in &mut self.engines {
            engine.detach_router(router);
        }
        self.record_members();
    }

    /// Passes an event to a router's process, after the end of a freeze; drops it if that
    /// process has ended.
    pub(crate) fn on_router_event(&mut self, boot: Boot, event: Event) {
        let vm = &mut self.vms[boot.router];
        if vm.boot != boot || vm.node.is_none() {
            return;
        }
        if vm.frozen_until > self.now {
            let wait = vm.frozen_until.micros_since(self.now);
            self.send_event_after_us(wait, boot, event);
            return;
        }
        if let Event::Backend { call, report, .. } = &event {
            let over = !vm.calls.contains_key(call);
            if over && matches!(report, BackendReport::Failed { .. }) {
                self.count("breaks_after_end");
                return;
            }
        }
        let event = self.with_delivered_tokens(boot, event);
        self.handle(boot, event);
    }

    /// Adds the number of delivered tokens to a report of a failed attempt.
    fn with_delivered_tokens(&mut self, boot: Boot, mut event: Event) -> Event {
        let calls = &mut self.vms[boot.router].calls;
        let Event::Backend {
            call,
            attempt,
            report: BackendReport::Failed { delivered, .. },
        } = &mut event
        else {
            return event;
        };
        if let Some(call) = calls.get_mut(call) {
            *delivered = call.sequencer.delivered();
            call.failed |= call.attempt == *attempt;
        }
        event
    }

    /// Passes on a message of another router.
    pub(crate) fn on_peer(&mut self, to: usize, from: usize, message: PeerMessage) {
        let boot = self.vms[to].boot;
        let from = config::vm_name(from);
        self.on_router_event(boot, Event::Peer { from, message });
    }

    /// Passes an expired timer to a router's process.
    pub(crate) fn on_tick(&mut self, boot: Boot) {
        let vm = &mut self.vms[boot.router];
        if vm.boot == boot {
            vm.tick_at = None;
            self.on_router_event(boot, Event::Tick);
        }
    }

    /// Passes an event to the state machine and executes the resulting actions.
    fn handle(&mut self, boot: Boot, event: Event) {
        self.add_trace_line(format!("router {} <- {}", boot.router, summarize(&event)));
        self.record_announced_incarnations(boot, &event);
        let mut out = Vec::new();
        let vm = &mut self.vms[boot.router];
        let node = vm.node.as_mut().expect("the router process is running");
        node.handle(self.now, event, &mut out);
        self.schedule_tick(boot);
        for action in out {
            self.execute_action(boot, action);
        }
    }

    /// Schedules a tick for the state machine's next deadline unless an earlier one is queued.
    fn schedule_tick(&mut self, boot: Boot) {
        let vm = &mut self.vms[boot.router];
        let next = vm.node.as_ref().and_then(Node::next_deadline);
        let Some(at) = next else {
            return;
        };
        if vm.tick_at.is_none_or(|queued| at < queued) {
            vm.tick_at = Some(at);
            let wait = at.micros_since(self.now);
            self.schedule_after_us(wait, ScheduledEvent::Tick(boot));
        }
    }

    /// Records the incarnations that an event announces to a router.
    fn record_announced_incarnations(&mut self, boot: Boot, event: &Event) {
        let known = &mut self.vms[boot.router].known_incarnations;
        let mut record = |name: &str, incarnation: Incarnation| {
            let highest = known.entry(name.to_owned()).or_default();
            *highest = (*highest).max(incarnation.0);
        };
        match event {
            Event::Load(report) => record(&report.server, report.incarnation),
            Event::Members(members) => members
                .iter()
                .for_each(|member| record(&member.name, member.incarnation)),
            _ => {}
        }
    }

    fn execute_action(&mut self, boot: Boot, action: Action) {
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
        let to = endpoint_of(&dispatch.server_name);
        let from = Endpoint::Router(boot.router);
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

    /// Checks that an attempt expects no outdated incarnation and isn't new work for an
    /// engine that is leaving.
    fn check_dispatch(&mut self, boot: Boot, dispatch: &Dispatch, request: u64) {
        let Endpoint::Engine(engine) = endpoint_of(&dispatch.server_name) else {
            return;
        };
        let vm = &self.vms[boot.router];
        let known = vm
            .known_incarnations
            .get(&dispatch.server_name)
            .copied()
            .unwrap_or(0);
        if dispatch.incarnation.0 < known {
            let details = format!(
                "router {} relies on {} of {} but was told of {known}",
                boot.router, dispatch.incarnation.0, dispatch.server_name
            );
            self.ledger.report_violation(Guarantee::CacheTruth, details);
        }
        let resumes = vm
            .calls
            .values()
            .any(|c| c.request == request && c.resume.is_some());
        let undisturbed = vm.undisturbed_for(self.now, LEAVING_GRACE_MS);
        let leaving = self.engines[engine].leaving_since;
        let late = leaving.is_some_and(|since| since.plus_millis(LEAVING_GRACE_MS) < self.now);
        if late && undisturbed && !resumes {
            let details = format!(
                "router {} sent request {request} to {}, which is leaving",
                boot.router, dispatch.server_name
            );
            self.ledger.report_violation(Guarantee::Leaving, details);
        }
    }

    /// Reports a failed attempt to its router after `us` microseconds.
    pub(crate) fn report_failure_after_us(&mut self, us: u64, conn: Conn, failure: Failure) {
        let report = BackendReport::Failed {
            failure,
            delivered: 0,
        };
        self.report_after_us(us, conn, report);
    }

    /// Reports the progress or end of an attempt to its router after `us` microseconds.
    pub(crate) fn report_after_us(&mut self, us: u64, conn: Conn, report: BackendReport) {
        let event = Event::Backend {
            call: conn.call,
            attempt: conn.attempt,
            report,
        };
        self.send_event_after_us(us, conn.from, event);
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

    /// Handles a token at its router: delivers it to the caller, drops a duplicate, or
    /// fails the attempt if tokens are missing.
    pub(crate) fn on_token(&mut self, conn: Conn, token: Token) {
        let boot = conn.from;
        let vm = &mut self.vms[boot.router];
        if vm.boot != boot {
            return;
        }
        if vm.frozen_until > self.now {
            let wait = vm.frozen_until.micros_since(self.now);
            self.schedule_after_us(wait, ScheduledEvent::Token { conn, token });
            return;
        }
        let accepts_any_attempt = self.settings.mutation == Some(policy::Mutation::MixAttempts);
        let skips_order_check = self.settings.mutation == Some(policy::Mutation::SkipOrderCheck);
        let current = vm.calls.get_mut(&conn.call);
        let Some(call) =
            current.filter(|c| accepts_any_attempt || (c.attempt == conn.attempt && !c.failed))
        else {
            self.count("late_tokens_dropped");
            return;
        };
        let first = call.sequencer.delivered() == 0;
        let step = call.sequencer.on_token(token.position, token.last);
        let request = call.request;
        let delivered = call.sequencer.delivered();
        match step {
            TokenAction::Forward => {}
            _ if skips_order_check => {}
            TokenAction::Duplicate => {
                self.count("duplicates_dropped");
                return;
            }
            TokenAction::Gap | TokenAction::AfterEnd => {
                self.count("gaps");
                let report = BackendReport::Failed {
                    failure: Failure::Broken,
                    delivered,
                };
                self.report_after_us(0, conn, report);
                return;
            }
        }
        self.deliver_token(request, conn.attempt, &token);
        if first {
            self.report_after_us(0, conn, BackendReport::FirstToken);
        }
        if token.last {
            self.end_stream(conn, request);
        }
    }

    fn end_stream(&mut self, conn: Conn, request: u64) {
        let vm = &mut self.vms[conn.from.router];
        vm.calls.remove(&conn.call);
        vm.completed_streams.insert(conn.call);
        let output_tokens = 0;
        self.report_after_us(0, conn, BackendReport::Finished { output_tokens });
        let result = CallerResult::Ended;
        self.schedule_after_us(0, ScheduledEvent::CallerResult { request, result });
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

    /// Checks that a router doesn't lack a configuration that it could have obtained.
    fn check_restart(&mut self, boot: Boot, refusal: Refusal) {
        let undisturbed = self.vms[boot.router].undisturbed_for(self.now, CONFIG_GRACE_MS);
        let config_available = self.some_peer_has_config() || self.can_read_config(boot);
        if undisturbed && config_available && refusal.reason() == Reason::NotConfigured {
            let details = format!("{boot:?} still has no configuration");
            self.ledger.report_violation(Guarantee::Restart, details);
        }
    }

    /// Returns whether a router with a configuration is undisturbed and on every membership list.
    fn some_peer_has_config(&self) -> bool {
        let has_config =
            |vm: &RouterVm| vm.version > 0 && vm.undisturbed_for(self.now, MEMBER_LIST_LAG_MS);
        self.vms.iter().any(has_config)
    }

    /// Returns whether a router has had time to read the configuration from the store.
    fn can_read_config(&self, boot: Boot) -> bool {
        let watch_down_until = self.vms[boot.router].watch_down_until;
        let store_faulty_until = self.store.down_until.max(self.store.slow_until);
        let readable_at = store_faulty_until
            .max(watch_down_until)
            .plus_millis(CONFIG_READ_MS);
        readable_at <= self.now && self.vms[boot.router].undisturbed_for(self.now, CONFIG_READ_MS)
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

    /// Sends a router the membership list of up to 10 s ago, never older than its last one.
    pub(crate) fn on_membership(&mut self, router: usize) {
        let boot = self.vms[router].boot;
        if self.vms[router].node.is_none() {
            return;
        }
        let lag_ms = self.random_below(10_000);
        let to = Endpoint::Router(router);
        let as_of_lagged = Time::from_millis(self.now.as_millis() - lag_ms);
        let vm = &mut self.vms[router];
        vm.members_as_of = vm.members_as_of.max(as_of_lagged);
        let as_of = vm.members_as_of;
        let list = self.members.range(..=as_of).next_back();
        let list = list.or(self.members.first_key_value());
        let members = list.map(|(_, members)| members.clone());
        let reached = self.network.connects(self.now, to, Endpoint::Platform);
        if reached {
            let members = members.expect("the first router start recorded a list");
            self.send_event_after_us(1_000, boot, Event::Members(members));
        }
        let us = match reached {
            true => 800_000 + self.random_below(400_000),
            false => 100_000,
        };
        self.schedule_after_us(us, ScheduledEvent::Membership(router));
    }

    /// Returns whether the key-value service, which also stores the configuration, is up.
    pub(crate) fn platform_up(&self) -> bool {
        self.store.down_until <= self.now
    }
}

/// Returns the endpoint of a server; only names of replicas contain a slash.
pub(crate) fn endpoint_of(server: &str) -> Endpoint {
    match server.split_once('/') {
        Some((_, replica)) => Endpoint::Replica(config::index_of(replica)),
        None => Endpoint::Engine(config::index_of(server)),
    }
}

/// Returns the text of an event for the trace, without large contents.
fn summarize(event: &Event) -> String {
    match event {
        Event::Call(req) => format!("call {:?} deadline {:?}", req.call, req.deadline),
        Event::Members(members) => format!("{} members", members.len()),
        Event::Config { version, .. } => format!("config {version}"),
        Event::Load(load) => format!("load {} {:?}", load.server, load.incarnation),
        Event::Peer { from, message } => format!("{from} {}", summarize_message(message)),
        Event::Store { op, result } => format!("store {op:?} {}", summarize_result(result)),
        other => format!("{other:?}"),
    }
}

fn summarize_message(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Config { version, .. } => format!("config {version}"),
        PeerMessage::ConfigDelta(delta) => format!("delta {} {}", delta.base, delta.version),
        PeerMessage::Snapshot(_) => "snapshot".to_owned(),
        other => format!("{other:?}"),
    }
}

fn summarize_result(result: &StoreResult) -> String {
    match result {
        StoreResult::Value { version, value } => {
            format!("value {version} {}", String::from_utf8_lossy(value))
        }
        StoreResult::Conflict {
            held: Some((version, value)),
        } => {
            format!("conflict {version} {}", String::from_utf8_lossy(value))
        }
        other => format!("{other:?}"),
    }
}
