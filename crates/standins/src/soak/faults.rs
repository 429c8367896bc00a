//! Fault injection.

use policy::Event;
use policy::Time;

use crate::soak::network::Endpoint;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

/// Time allowed for a graceful stop of a router, in milliseconds.
const GRACEFUL_STOP_MS: u64 = 50_000;

/// Kind of an injected fault. The names appear in traces.
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

/// Faults to choose from at random; frequent ones are listed several times.
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
    /// Injects one fault or, with 25% probability, two at once.
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

    /// Returns whether single messages and calls fail at random.
    pub(crate) fn injects_minor_faults(&self) -> bool {
        !self.winding_down && !self.settings.calm
    }

    /// Injects a random fault; those with a duration last 0.2 to 8.2 s.
    fn inject_fault(&mut self) {
        let fault = FAULTS[self.random_below(FAULTS.len() as u64) as usize];
        let ms = 200 + self.random_below(8_000);
        let until = self.now.plus_millis(ms);
        self.add_trace_line(format!("fault {fault:?} for {ms} ms"));
        match fault {
            Fault::EngineCrash => self.crash_random_engine(),
            Fault::EngineLeaves => self.drain_engine(),
            Fault::ReplicaDown => self.take_replica_down(ms),
            Fault::RouterKilled => self.kill_router(),
            Fault::RouterFrozen => self.freeze_router(until),
            Fault::RouterStopped => self.stop_random_router(),
            Fault::HerdRestart => self.restart_all(),
            Fault::CutOneWay => self.block(until, false),
            Fault::CutBothWays => self.block(until, true),
            Fault::StoreDown => self.store.down_until = self.store.down_until.max(until),
            Fault::StoreSlow => self.store.slow_until = self.store.slow_until.max(until),
            Fault::WatchDeaf => self.disable_watches(until),
        }
        *self.faults.entry(fault.name()).or_default() += 1;
    }

    fn random_engine(&mut self) -> usize {
        self.random_below(self.engines.len() as u64) as usize
    }

    fn crash_random_engine(&mut self) {
        let index = self.random_engine();
        self.crash_engine(index, None);
    }

    /// Marks a random engine as leaving; it is removed 8 to 23 s later.
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

    /// Takes a leaving engine down; its next incarnation starts later.
    pub(crate) fn on_engine_removed(&mut self, index: usize) {
        if self.engines[index].leaving_since.is_some() {
            self.crash_engine(index, None);
        }
    }

    fn take_replica_down(&mut self, ms: u64) {
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

    fn stop_random_router(&mut self) {
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

    /// Kills all router processes at once and restarts each within 1.6 s.
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

    /// Blocks messages from a random router to a random endpoint, or in both directions.
    fn block(&mut self, until: Time, both_ways: bool) {
        let (a, b) = (
            Endpoint::Router(self.random_router()),
            self.random_endpoint(),
        );
        self.network.block(a, b, until);
        self.mark_disturbed(a, until);
        self.mark_disturbed(b, until);
        if both_ways {
            self.network.block(b, a, until);
        }
    }

    fn mark_disturbed(&mut self, endpoint: Endpoint, until: Time) {
        if let Endpoint::Router(router) = endpoint {
            self.vms[router].mark_disturbed(until);
        }
    }

    /// Blocks configuration reads of a random router; in a third of the cases also those of
    /// all others except router 0.
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
    /// Returns the key of the fault's count in the summary.
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
