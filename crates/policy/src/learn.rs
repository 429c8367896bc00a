//! What a node learns of servers, routers and the configuration.

use std::sync::Arc;

use config::Config;

use crate::mutation::Mutation;
use crate::Action;
use crate::CacheReport;
use crate::Incarnation;
use crate::LoadReport;
use crate::Member;
use crate::Node;
use crate::PeerMessage;
use crate::ServerKey;
use crate::ServerMark;
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
        out.push(Action::InForce { version });
        out.push(Action::Watch(self.fleet.declared_engines()));
        self.push_config(before, out);
    }

    /// Takes the membership list in.
    pub(crate) fn on_members(&mut self, now: Time, members: &[Member], out: &mut Vec<Action>) {
        self.routers.on_members(&self.identity.vm, members);
        self.members = members.to_vec();
        self.learn_servers();
        if self.snapshot_tries == 0 {
            self.ask_for_snapshot(now, out);
        }
    }

    /// Takes the membership list in again, for servers that were not declared
    /// when it came.
    fn learn_servers(&mut self) {
        for server in self.fleet.on_members(&self.members) {
            self.placement.on_reset(server);
        }
    }

    /// Takes a load report in.
    pub(crate) fn on_load(&mut self, now: Time, report: &LoadReport, out: &mut Vec<Action>) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        if self.fleet.on_incarnation(server, report.incarnation) {
            self.placement.on_reset(server);
        }
        if report.incarnation < self.fleet.server(server).incarnation {
            return;
        }
        if report.leaving {
            self.learn_leaving(server, report.incarnation, out);
        }
        if !self.strikes.is_empty() {
            self.strikes
                .withdraw(&report.server, report.incarnation, report.at);
        }
        self.placement.on_load(server, report.queued_tokens);
        self.on_weights(now, server, report);
    }

    /// Takes changes of an engine's cache in.
    pub(crate) fn on_cache(&mut self, report: &CacheReport) {
        let Some(server) = self.fleet.find(&report.server) else {
            return;
        };
        if self.fleet.on_incarnation(server, report.incarnation) {
            self.placement.on_reset(server);
        }
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
        let mark = ServerMark {
            server: self.fleet.server(server).name.clone(),
            incarnation,
        };
        self.tell_all(&PeerMessage::Leaving(vec![mark]), out);
    }
}
