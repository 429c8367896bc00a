//! Crashes of engines and restarts of routers.

use policy::Failure;
use rand::Rng;

use crate::bench::deployment;
use crate::bench::router::Input;
use crate::bench::setup::CRASH_EVERY_US;
use crate::bench::setup::DOWN_US;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::MEMBERSHIP_LAG_US;
use crate::bench::setup::RESTARTED_ROUTERS;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::WARM_UP_US;
use crate::bench::world::World;
use crate::bench::world_event::WorldEvent;

impl World<'_> {
    /// Crashes a random engine and schedules its restart and the next crash.
    pub(super) fn crash_engine(&mut self) {
        if self.now_us + CRASH_EVERY_US < WARM_UP_US + MEASURED_US {
            self.schedule(CRASH_EVERY_US, WorldEvent::CrashEngine);
        }
        let engine = self.rng.random_range(0..self.engines.len());
        if !self.engines[engine].up {
            return;
        }
        for job in self.engines[engine].crash() {
            self.fail(engine, &job, Failure::Broken);
        }
        self.schedule(DOWN_US, WorldEvent::RestartEngine(engine));
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }

    pub(super) fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }

    pub(super) fn publish_membership(&mut self) {
        let members = deployment::members(self.setup, &self.engines, &self.router_incarnations);
        for router in 0..ROUTERS {
            self.handle_input(router, Input::Members(members.clone()));
        }
    }

    /// Restarts several routers at the same time with empty state.
    pub(super) fn restart_routers(&mut self) {
        for router in 0..RESTARTED_ROUTERS {
            self.router_incarnations[router] += 1;
            self.routers[router] = (self.make_router)(router, self.router_incarnations[router]);
            self.watched[router] = vec![false; self.engines.len()];
            self.next_tick_us[router] = u64::MAX;
        }
        for router in 0..RESTARTED_ROUTERS {
            self.send_initial_state(router);
        }
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }
}
