//! Faults.

use policy::Event;
use policy::Time;

use crate::soak::happening::Happening;
use crate::soak::network::Party;
use crate::soak::world::World;

/// Time that a graceful stop may take, in milliseconds.
const STOP_MS: u64 = 50_000;

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
        self.strike();
        if self.one_in(4) {
            self.strike();
        }
        let us = 200_000 + self.below(2_500_000);
        self.after_us(us, Happening::Fault);
    }

    /// Tells whether small faults are made.
    pub(crate) fn faulty(&self) -> bool {
        !self.winding_down && !self.settings.calm
    }

    fn strike(&mut self) {
        let fault = FAULTS[self.below(FAULTS.len() as u64) as usize];
        let ms = 200 + self.below(8_000);
        let until = self.now.plus_millis(ms);
        self.note(format!("fault {fault:?} for {ms} ms"));
        match fault {
            Fault::EngineCrash => self.crash_some_engine(),
            Fault::EngineLeaves => self.engine_leaves(),
            Fault::ReplicaDown => self.replica_down(ms),
            Fault::RouterKilled => self.kill_router(),
            Fault::RouterFrozen => self.freeze_router(until),
            Fault::RouterStopped => self.stop_some_router(),
            Fault::HerdRestart => self.restart_all(),
            Fault::CutOneWay => self.cut(until, false),
            Fault::CutBothWays => self.cut(until, true),
            Fault::StoreDown => self.store.down_until = self.store.down_until.max(until),
            Fault::StoreSlow => self.store.slow_until = self.store.slow_until.max(until),
            Fault::WatchDeaf => self.deafen(until),
        }
        *self.faults.entry(fault.name()).or_default() += 1;
    }

    fn any_engine(&mut self) -> usize {
        self.below(self.engines.len() as u64) as usize
    }

    fn crash_some_engine(&mut self) {
        let index = self.any_engine();
        self.crash_engine(index, None);
    }

    fn engine_leaves(&mut self) {
        let index = self.any_engine();
        let engine = &mut self.engines[index];
        if !engine.up || engine.leaving_since.is_some() {
            return;
        }
        engine.leaving_since = Some(self.now);
        self.members_changed();
        let us = 8_000_000 + self.below(15_000_000);
        self.after_us(us, Happening::EngineGone(index));
    }

    /// Takes a leaving engine away.
    pub(crate) fn on_engine_gone(&mut self, index: usize) {
        if self.engines[index].leaving_since.is_some() {
            self.crash_engine(index, None);
        }
    }

    fn replica_down(&mut self, ms: u64) {
        let index = self.below(self.replicas.len() as u64) as usize;
        self.replicas[index].up = false;
        self.after_us(ms * 1_000, Happening::ReplicaUp(index));
    }

    fn kill_router(&mut self) {
        let router = self.any_router();
        if self.shells[router].node.is_some() {
            self.stop_router(router);
            let us = 100_000 + self.below(3_000_000);
            self.after_us(us, Happening::RouterUp(router));
        }
    }

    fn freeze_router(&mut self, until: Time) {
        let router = self.any_router();
        let shell = &mut self.shells[router];
        shell.frozen_until = until;
        shell.disturb(until);
    }

    fn stop_some_router(&mut self) {
        let router = self.any_router();
        let shell = &mut self.shells[router];
        if shell.node.is_none() || shell.stopping {
            return;
        }
        let deadline = self.now.plus_millis(STOP_MS);
        shell.stopping = true;
        shell.stop_by = deadline;
        let boot = shell.at;
        self.members_changed();
        self.event_after(0, boot, Event::Shutdown { deadline });
    }

    fn restart_all(&mut self) {
        for router in 0..self.shells.len() {
            if self.shells[router].node.is_some() {
                self.stop_router(router);
                let us = 100_000 + self.below(1_500_000);
                self.after_us(us, Happening::RouterUp(router));
            }
        }
    }

    fn any_party(&mut self) -> Party {
        match self.below(6) {
            0..=2 => Party::Router(self.any_router()),
            3 => Party::Engine(self.any_engine()),
            4 => Party::Replica(self.below(self.replicas.len() as u64) as usize),
            _ => Party::Platform,
        }
    }

    fn cut(&mut self, until: Time, both_ways: bool) {
        let (a, b) = (Party::Router(self.any_router()), self.any_party());
        self.network.cut(a, b, until);
        self.disturb(a, until);
        self.disturb(b, until);
        if both_ways {
            self.network.cut(b, a, until);
        }
    }

    fn disturb(&mut self, party: Party, until: Time) {
        if let Party::Router(router) = party {
            self.shells[router].disturb(until);
        }
    }

    fn deafen(&mut self, until: Time) {
        let all = self.one_in(3);
        let router = self.any_router();
        for (i, shell) in self.shells.iter_mut().enumerate() {
            if i == router || (all && i != 0) {
                shell.deaf_until = until;
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
