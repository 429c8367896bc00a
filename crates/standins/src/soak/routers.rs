//! Router processes: starts and ends them, and passes events to their state machines.

use policy::BackendReport;
use policy::Event;
use policy::Failure;
use policy::Identity;
use policy::Incarnation;
use policy::Node;
use policy::PeerMessage;
use policy::Time;
use policy::TokenAction;

use crate::soak::config;
use crate::soak::engine::Token;
use crate::soak::event_summary::summarize;
use crate::soak::network::Endpoint;
use crate::soak::scheduled_event::Boot;
use crate::soak::scheduled_event::CallerResult;
use crate::soak::scheduled_event::Conn;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

/// Latency between a caller and a router, in microseconds.
pub(crate) const CALLER_LATENCY_US: u64 = 1_000;

/// Time without a response after which a router treats a connection as broken, in microseconds.
pub(crate) const CONNECTION_TIMEOUT_US: u64 = 400_000;

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
