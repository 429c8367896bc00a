//! Updates of a node's view of servers, routers and the configuration.

use std::sync::Arc;

use config::Config;

use crate::mutation::Mutation;
use crate::Action;
use crate::CacheChange;
use crate::CacheReport;
use crate::Incarnation;
use crate::LoadReport;
use crate::Member;
use crate::Node;
use crate::PeerMessage;
use crate::ServerInstance;
use crate::ServerKey;
use crate::Time;

impl Node {
    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn on_config(&mut self, version: u64, cfg: &Arc<Config>, out: &mut Vec<Action>) {
        if self.has_mutation(Mutation::AcceptOldConfig) {
            self.active_config.revert();
        }
        let before = self.active_config.version();
        if !self.active_config.offer(version, cfg) {
            return;
        }
        self.fleet.on_config(cfg);
        self.apply_members();
        let kind = self.settings.placement;
        self.cells.rebuild(&self.fleet, kind, cfg.limits.cell_size);
        out.push(Action::ConfigApplied { version });
        self.on_cells_changed(out);
        self.push_config(before, out);
    }

    /// Applies a new membership list.
    pub(crate) fn on_members(&mut self, now: Time, members: &[Member], out: &mut Vec<Action>) {
        self.routers.on_members(&self.identity.vm, members);
        self.members = members.to_vec();
        self.apply_members();
        self.on_cells_changed(out);
        if self.snapshot_tries == 0 {
            self.request_snapshot(now, out);
        }
    }

    /// Applies the latest membership list to the servers. Also called for a new
    /// configuration, as the list may contain servers that were not declared
    /// before.
    fn apply_members(&mut self) {
        for server in self.fleet.on_members(&self.members) {
            self.reset_server(server);
        }
    }

    /// Applies a load report.
    pub(crate) fn on_load(&mut self, now: Time, report: &LoadReport, out: &mut Vec<Action>) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        self.observe_incarnation(server, report.incarnation);
        if report.incarnation < self.fleet.server(server).incarnation {
            return;
        }
        self.fleet.record_contact(server, now);
        if report.leaving {
            self.announce_leaving(server, report.incarnation, out);
        }
        if !self.strikes.is_empty() {
            self.strikes
                .withdraw(&report.server, report.incarnation, report.at);
        }
        let us_per_token = self.fleet.server(server).prefill_us_per_token;
        let queued_us = (report.queued_tokens as f64 * us_per_token) as u64;
        self.placement.on_load(server, report.at, queued_us);
        self.on_weights(now, server, report);
    }

    /// Applies changes of an engine's cache.
    pub(crate) fn on_cache(&mut self, report: &CacheReport) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        self.observe_incarnation(server, report.incarnation);
        if report.incarnation < self.fleet.server(server).incarnation {
            return;
        }
        let cell = self.cells.id_of(server);
        let Some(residency) = cell.and_then(|cell| self.placement.residency_mut(cell)) else {
            return;
        };
        for change in &report.changes {
            match change {
                CacheChange::Stored(block) => residency.store(server, *block),
                CacheChange::Evicted(block) => residency.evict(server, *block),
            }
        }
    }

    /// Records an observed incarnation of a server and resets its state if it is new.
    pub(crate) fn observe_incarnation(&mut self, server: ServerKey, incarnation: Incarnation) {
        if self.fleet.on_incarnation(server, incarnation) {
            self.reset_server(server);
        }
    }

    /// Drops what is known about a server's cache and load.
    pub(crate) fn reset_server(&mut self, server: ServerKey) {
        let cell = self.cells.id_of(server);
        self.placement.on_reset(cell, server);
    }

    /// Marks a server as leaving and announces that to the other routers.
    pub(crate) fn announce_leaving(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if self.has_mutation(Mutation::ForgetLeaving) {
            return;
        }
        if !self.fleet.mark_leaving(server, incarnation) {
            return;
        }
        let instance = ServerInstance {
            server: self.fleet.server(server).name.clone(),
            incarnation,
        };
        self.broadcast(&PeerMessage::Leaving(vec![instance]), out);
    }
}
