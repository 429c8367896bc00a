//! Operators that change the configuration concurrently, and routers that read it.

use policy::Event;

use crate::soak::config;
use crate::soak::network::Endpoint;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

/// Number of routers that watch the configuration; the others poll it every 20 to 30 s.
const WATCHERS: usize = 3;

impl World {
    /// Handles an operator that reads the configuration (`None`) or changes the version it
    /// has read. The change is refused if the configuration has changed in between or the
    /// service is down.
    pub(crate) fn on_operator(&mut self, read_version: Option<u64>) {
        if self.winding_down {
            return;
        }
        let latest_version = self.latest_version();
        let up = self.platform_up();
        match read_version {
            None => {
                let us = 5_000 + self.random_below(500_000);
                let read_version = Some(latest_version).filter(|_| up);
                self.schedule_after_us(us, ScheduledEvent::Operator { read_version });
            }
            Some(version) => {
                if up && version == latest_version {
                    self.ledger.on_accepted(self.now, latest_version + 1);
                    self.count("changes_accepted");
                    self.add_trace_line(format!("version {} is accepted", latest_version + 1));
                } else {
                    self.count("changes_refused");
                }
                let us = self.random_below(4_000_000);
                self.schedule_after_us(us, ScheduledEvent::Operator { read_version: None });
            }
        }
    }

    fn latest_version(&self) -> u64 {
        *self
            .ledger
            .accepted
            .keys()
            .next_back()
            .expect("version 1 is accepted at the start")
    }

    /// Handles a router's read of the configuration; one in 20 returns a random accepted version.
    pub(crate) fn on_watch(&mut self, router: usize) {
        let vm = &self.vms[router];
        let boot = vm.boot;
        if vm.node.is_none() {
            return;
        }
        let reachable = self.platform_up()
            && vm.watch_down_until <= self.now
            && self
                .network
                .connects(self.now, Endpoint::Router(router), Endpoint::Platform);
        let watches = router < WATCHERS || vm.version == 0;
        if reachable {
            let latest_version = self.latest_version();
            let old = self.one_in(20);
            let version = if old {
                1 + self.random_below(latest_version)
            } else {
                latest_version
            };
            let slow = self.store.slow_until > self.now;
            let us = 2_000 + self.random_below(if slow { 3_000_000 } else { 10_000 });
            let config = config::config(self.settings.runners, version);
            self.send_event_after_us(us, boot, Event::Config { version, config });
        }
        let us = match watches {
            true => 500_000 + self.random_below(500_000),
            false => 20_000_000 + self.random_below(10_000_000),
        };
        self.schedule_after_us(us, ScheduledEvent::Watch(router));
    }
}
