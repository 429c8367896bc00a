//! Load and cache reports of engines to the routers that watch them.

use policy::CacheReport;
use policy::Incarnation;
use policy::LoadReport;
use policy::Time;
use rand::Rng;

use crate::bench::deployment;
use crate::bench::router::Input;
use crate::bench::setup::CACHE_REPORT_US;
use crate::bench::setup::LOAD_REPORT_US;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::WARM_UP_US;
use crate::bench::wire_size;
use crate::bench::world::World;
use crate::bench::world_event::WorldEvent;

impl World<'_> {
    pub(super) fn publish_load(&mut self, engine: usize) {
        self.schedule(LOAD_REPORT_US, WorldEvent::PublishLoad(engine));
        let source = &self.engines[engine];
        if !source.up {
            return;
        }
        let report = LoadReport {
            server: deployment::engine_name(engine),
            incarnation: Incarnation(source.incarnation),
            at: Time(self.now_us),
            queued_tokens: source.queued_tokens(self.now_us),
            running: source.decoding.len() as u32,
            leaving: false,
            weights: None,
        };
        for router in self.watchers(engine) {
            self.count_control(wire_size::LOAD_REPORT_BYTES);
            let router_incarnation = self.router_incarnations[router];
            let input = Input::Load(report.clone());
            let event = WorldEvent::InputArrives(router, router_incarnation, input);
            self.schedule(self.setup.report_lag_us, event);
        }
    }

    pub(super) fn publish_cache(&mut self, engine: usize) {
        self.schedule(CACHE_REPORT_US, WorldEvent::PublishCache(engine));
        let source = &mut self.engines[engine];
        let changes = std::mem::take(&mut source.changes);
        let first_sequence = source.sequence;
        source.sequence += changes.len() as u64;
        if !source.up || changes.is_empty() {
            return;
        }
        let report = CacheReport {
            server: deployment::engine_name(engine),
            incarnation: Incarnation(source.incarnation),
            first_sequence,
            changes,
        };
        for router in self.watchers(engine) {
            self.count_control(report.changes.len() as u64 * wire_size::CACHE_EVENT_BYTES);
            if self.rng.random::<f64>() < self.setup.event_loss {
                continue;
            }
            let router_incarnation = self.router_incarnations[router];
            let input = Input::Cache(report.clone());
            let event = WorldEvent::InputArrives(router, router_incarnation, input);
            self.schedule(self.setup.report_lag_us, event);
        }
    }

    /// Returns the routers that watch an engine.
    fn watchers(&self, engine: usize) -> Vec<usize> {
        (0..ROUTERS).filter(|r| self.watched[*r][engine]).collect()
    }

    /// Counts control traffic within the measured period.
    fn count_control(&mut self, bytes: u64) {
        if self.now_us >= WARM_UP_US && self.now_us < WARM_UP_US + MEASURED_US {
            self.measures.control_bytes += bytes;
        }
    }
}
