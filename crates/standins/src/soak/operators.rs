//! Operators who race each other, and how routers hear of their changes.

use policy::Event;

use crate::soak::config;
use crate::soak::happening::Happening;
use crate::soak::network::Party;
use crate::soak::world::World;

/// Routers that watch the configuration; the others poll rarely.
const WATCHERS: usize = 3;

impl World {
    /// Lets an operator read the configuration, or change what it read.
    pub(crate) fn on_operator(&mut self, read: Option<u64>) {
        if self.winding_down {
            return;
        }
        let head = self.head();
        let up = self.platform_up();
        match read {
            None => {
                let us = 5_000 + self.below(500_000);
                let read = Some(head).filter(|_| up);
                self.after_us(us, Happening::Operator { read });
            }
            Some(version) => {
                if up && version == head {
                    self.ledger.on_accepted(self.now, head + 1);
                    self.count("changes_accepted");
                    self.note(format!("version {} is accepted", head + 1));
                } else {
                    self.count("changes_refused");
                }
                let us = self.below(4_000_000);
                self.after_us(us, Happening::Operator { read: None });
            }
        }
    }

    fn head(&self) -> u64 {
        *self
            .ledger
            .accepted
            .keys()
            .next_back()
            .expect("one is accepted")
    }

    /// Lets a router read the configuration, now and then an old one.
    pub(crate) fn on_watch(&mut self, router: usize) {
        let shell = &self.shells[router];
        let boot = shell.at;
        if shell.node.is_none() {
            return;
        }
        let hears = self.platform_up()
            && shell.deaf_until <= self.now
            && self
                .network
                .connects(self.now, Party::Router(router), Party::Platform);
        let watches = router < WATCHERS || shell.version == 0;
        if hears {
            let head = self.head();
            let old = self.one_in(20);
            let version = if old { 1 + self.below(head) } else { head };
            let slow = self.store.slow_until > self.now;
            let us = 2_000 + self.below(if slow { 3_000_000 } else { 10_000 });
            let config = config::config(self.settings.runners, version);
            self.event_after(us, boot, Event::Config { version, config });
        }
        let us = match watches {
            true => 500_000 + self.below(500_000),
            false => 20_000_000 + self.below(10_000_000),
        };
        self.after_us(us, Happening::Watch(router));
    }
}
