//! What a node learns of servers, routers and the configuration.

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
    /// Takes a configuration in.
    pub(crate) fn on_config(&mut self, version: u64, cfg: &Arc<Config>, out: &mut Vec<Action>) {
        if self.is_off(Mutation::AcceptOldConfig) {
            self.rollout.revert();
        }
        let before = self.rollout.version();
        if !self.rollout.offer(version, cfg) {
            return;
        }
        self.fleet.on_config(cfg);
        self.learn_servers();
        let kind = self.settings.placement;
        self.cells.rebuild(&self.fleet, kind, cfg.limits.cell_size);
        out.push(Action::ConfigApplied { version });
        self.on_cells_changed(out);
        self.push_config(before, out);
    }

    /// Takes the membership list in.
    pub(crate) fn on_members(&mut self, now: Time, members: &[Member], out: &mut Vec<Action>) {
        self.routers.on_members(&self.identity.vm, members);
        self.members = members.to_vec();
        self.learn_servers();
        self.on_cells_changed(out);
        if self.snapshot_tries == 0 {
            self.ask_for_snapshot(now, out);
        }
    }

    /// Takes the membership list in again, for servers that were not declared
    /// when it came.
    fn learn_servers(&mut self) {
        for server in self.fleet.on_members(&self.members) {
            self.forget(server);
        }
    }

    /// Takes a load report in.
    pub(crate) fn on_load(&mut self, now: Time, report: &LoadReport, out: &mut Vec<Action>) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        self.see_incarnation(server, report.incarnation);
        if report.incarnation < self.fleet.server(server).incarnation {
            return;
        }
        self.fleet.heard(server, now);
        if report.leaving {
            self.learn_leaving(server, report.incarnation, out);
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

    /// Takes changes of an engine's cache in.
    pub(crate) fn on_cache(&mut self, report: &CacheReport) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        self.see_incarnation(server, report.incarnation);
        if report.incarnation < self.fleet.server(server).incarnation {
            return;
        }
        let cell = self.cells.id_of(server);
        let Some(residency) = cell.and_then(|cell| self.placement.residency_mut(cell)) else {
            return;
        };
        for change in &report.changes {
            match change {
                CacheChange::Stored(piece) => residency.store(server, *piece),
                CacheChange::Evicted(piece) => residency.evict(server, *piece),
            }
        }
    }

    /// Takes in that an incarnation of a server was seen.
    pub(crate) fn see_incarnation(&mut self, server: ServerKey, incarnation: Incarnation) {
        if self.fleet.on_incarnation(server, incarnation) {
            self.forget(server);
        }
    }

    /// Forgets what was known of a server's cache and load.
    pub(crate) fn forget(&mut self, server: ServerKey) {
        let cell = self.cells.id_of(server);
        self.placement.on_reset(cell, server);
    }

    /// Marks a server as leaving and tells the other routers.
    pub(crate) fn learn_leaving(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if self.is_off(Mutation::ForgetLeaving) {
            return;
        }
        if !self.fleet.mark_leaving(server, incarnation) {
            return;
        }
        let mark = ServerInstance {
            server: self.fleet.server(server).name.clone(),
            incarnation,
        };
        self.tell_all(&PeerMessage::Leaving(vec![mark]), out);
    }
}
