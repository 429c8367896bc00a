//! How a new configuration passes from router to router.
//!
//! A router that puts a version in force sends what has changed to a few
//! others, once. Each second it tells its version to a few others; one that
//! hears of an older version sends what is missing, one that hears of a newer
//! version asks. So a change costs each router a few small messages, however
//! many routers there are.

use crate::mutation::Mutation;
use crate::Action;
use crate::ConfigDelta;
use crate::Node;
use crate::PeerMessage;

impl Node {
    /// Sends what has changed since `before` to some other routers.
    pub(crate) fn push_config(&mut self, before: u64, out: &mut Vec<Action>) {
        if self.has_mutation(Mutation::KeepConfigToItself) {
            return;
        }
        for vm in self.next_gossip_peers() {
            self.send_config(&vm, before, out);
        }
    }

    /// Takes in what has changed since another version.
    pub(crate) fn on_config_delta(
        &mut self,
        from: &str,
        delta: &ConfigDelta,
        out: &mut Vec<Action>,
    ) {
        let own = self.active_config.version();
        if delta.version <= own {
            return;
        }
        match self.active_config.apply(delta) {
            Some(cfg) => self.on_config(delta.version, &cfg, out),
            None => self.send_peer(from, PeerMessage::Version(own), out),
        }
    }

    /// Takes in which version another router has.
    pub(crate) fn on_peer_version(&mut self, from: &str, version: u64, out: &mut Vec<Action>) {
        let own = self.active_config.version();
        if version > own {
            self.send_peer(from, PeerMessage::Version(own), out);
        } else if version < own && !self.has_mutation(Mutation::KeepConfigToItself) {
            self.send_config(from, version, out);
        }
    }

    /// Sends what is missing since `version`, or the whole if the log does not
    /// reach that far.
    fn send_config(&self, vm: &str, version: u64, out: &mut Vec<Action>) {
        if let Some(deltas) = self.active_config.since(version) {
            for delta in deltas {
                self.send_peer(vm, PeerMessage::ConfigDelta(delta), out);
            }
            return;
        }
        if let Some(config) = self.active_config.config().cloned() {
            let version = self.active_config.version();
            self.send_peer(vm, PeerMessage::Config { version, config }, out);
        }
    }
}
