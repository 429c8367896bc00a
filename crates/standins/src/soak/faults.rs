//! Faults.

use policy::Event;
use policy::Time;

use crate::soak::network::Endpoint;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

/// Time that a graceful stop may take, in milliseconds.
const GRACEFUL_STOP_MS: u64 = 50_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EngineCrash,
    EngineLeaves,
    ReplicaDown,
    RouterKilled,
    RouterFrozen,
    RouterStopped,
    HerdRestart,
    CutOneWay,
    CutBothWays,
    StoreDown,
    StoreSlow,
    WatchDeaf,
}

/// Faults, the frequent ones several times.
const FAULTS: [Fault; 16] = [
    Fault::EngineCrash,
    Fault::EngineCrash,
    Fault::EngineLeaves,
    Fault::EngineLeaves,
    Fault::ReplicaDown,
    Fault::RouterKilled,
    Fault::RouterKilled,
    Fault::RouterFrozen,
    Fault::RouterStopped,
    Fault::HerdRestart,
    Fault::CutOneWay,
    Fault::CutOneWay,
    Fault::CutBothWays,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::WatchDeaf,
];

impl World {
    /// Lets one fault strike, or two together.
    pub(crate) fn on_fault(&mut self) {
        if self.winding_down || self.settings.calm {
            return;
        }
        self.inject_fault();
        if self.one_in(4) {
            self.inject_fault();
        }
        let us = 200_000 + self.random_below(2_500_000);
        self.schedule_after_us(us, ScheduledEvent::Fault);
    }

    /// Tells whether small faults are made.
    pub(crate) fn injects_minor_faults(&self) -> bool {
        !self.winding_down && !self.settings.calm
    }

    fn inject_fault(&mut self) {
        let fault = FAULTS[self.random_below(FAULTS.len() as u64) as usize];
        let ms = 200 + self.random_below(8_000);
        let until = self.now.plus_millis(ms);
        self.add_trace_line(format!("fault {fault:?} for {ms} ms"));
        match fault {
            Fault::EngineCrash => self.crash_some_engine(),
            Fault::EngineLeaves => self.drain_engine(),
            Fault::ReplicaDown => self.replica_down(ms),
            Fault::RouterKilled => self.kill_router(),
            Fault::RouterFrozen => self.freeze_router(until),
            Fault::RouterStopped => self.stop_some_router(),
            Fault::HerdRestart => self.restart_all(),
            Fault::CutOneWay => self.cut(until, false),
            Fault::CutBothWays => self.cut(until, true),
            Fault::StoreDown => self.store.down_until = self.store.down_until.max(until),
            Fault::StoreSlow => self.store.slow_until = self.store.slow_until.max(until),
            Fault::WatchDeaf => self.disable_watches(until),
        }
        *self.faults.entry(fault.name()).or_default() += 1;
    }

    fn random_engine(&mut self) -> usize {
        self.random_below(self.engines.len() as u64) as usize
    }

    fn crash_some_engine(&mut self) {
        let index = self.random_engine();
        self.crash_engine(index, None);
    }

    fn drain_engine(&mut self) {
        let index = self.random_engine();
        let engine = &mut self.engines[index];
        if !engine.up || engine.leaving_since.is_some() {
            return;
        }
        engine.leaving_since = Some(self.now);
        self.record_members();
        let us = 8_000_000 + self.random_below(15_000_000);
        self.schedule_after_us(us, ScheduledEvent::EngineRemoved(index));
    }

    /// Takes a leaving engine away.
    pub(crate) fn on_engine_removed(&mut self, index: usize) {
        if self.engines[index].leaving_since.is_some() {
            self.crash_engine(index, None);
        }
    }

    fn replica_down(&mut self, ms: u64) {
        let index = self.random_below(self.replicas.len() as u64) as usize;
        self.replicas[index].up = false;
        self.schedule_after_us(ms * 1_000, ScheduledEvent::ReplicaUp(index));
    }

    fn kill_router(&mut self) {
        let router = self.random_router();
        if self.vms[router].node.is_some() {
            self.stop_router(router);
            let us = 100_000 + self.random_below(3_000_000);
            self.schedule_after_us(us, ScheduledEvent::RouterUp(router));
        }
    }

    fn freeze_router(&mut self, until: Time) {
        let router = self.random_router();
        let vm = &mut self.vms[router];
        vm.frozen_until = until;
        vm.mark_disturbed(until);
    }

    fn stop_some_router(&mut self) {
        let router = self.random_router();
        let vm = &mut self.vms[router];
        if vm.node.is_none() || vm.stopping {
            return;
        }
        let deadline = self.now.plus_millis(GRACEFUL_STOP_MS);
        vm.stopping = true;
        vm.stop_deadline = deadline;
        let boot = vm.boot;
        self.record_members();
        self.send_event_after_us(0, boot, Event::Shutdown { deadline });
    }

    fn restart_all(&mut self) {
        for router in 0..self.vms.len() {
            if self.vms[router].node.is_some() {
                self.stop_router(router);
                let us = 100_000 + self.random_below(1_500_000);
                self.schedule_after_us(us, ScheduledEvent::RouterUp(router));
            }
        }
    }

    fn random_endpoint(&mut self) -> Endpoint {
        match self.random_below(6) {
            0..=2 => Endpoint::Router(self.random_router()),
            3 => Endpoint::Engine(self.random_engine()),
            4 => Endpoint::Replica(self.random_below(self.replicas.len() as u64) as usize),
            _ => Endpoint::Platform,
        }
    }

    fn cut(&mut self, until: Time, both_ways: bool) {
        let (a, b) = (
            Endpoint::Router(self.random_router()),
            self.random_endpoint(),
        );
        self.network.cut(a, b, until);
        self.mark_disturbed(a, until);
        self.mark_disturbed(b, until);
        if both_ways {
            self.network.cut(b, a, until);
        }
    }

    fn mark_disturbed(&mut self, endpoint: Endpoint, until: Time) {
        if let Endpoint::Router(router) = endpoint {
            self.vms[router].mark_disturbed(until);
        }
    }

    fn disable_watches(&mut self, until: Time) {
        let all = self.one_in(3);
        let router = self.random_router();
        for (i, vm) in self.vms.iter_mut().enumerate() {
            if i == router || (all && i != 0) {
                vm.watch_down_until = until;
            }
        }
    }
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Fault::EngineCrash => "engine_crash",
            Fault::EngineLeaves => "engine_leaves",
            Fault::ReplicaDown => "replica_down",
            Fault::RouterKilled => "router_killed",
            Fault::RouterFrozen => "router_frozen",
            Fault::RouterStopped => "router_stopped",
            Fault::HerdRestart => "herd_restart",
            Fault::CutOneWay => "cut_one_way",
            Fault::CutBothWays => "cut_both_ways",
            Fault::StoreDown => "store_down",
            Fault::StoreSlow => "store_slow",
            Fault::WatchDeaf => "watch_deaf",
        }
    }
}
