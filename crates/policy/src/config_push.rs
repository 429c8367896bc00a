//! Propagation of a new configuration between routers.
//!
//! A router that puts a version in force sends the delta to a few others, once.
//! Every second it announces its version to a few others. A router that
//! receives an older version sends what the other lacks; one that receives a
//! newer version requests it. So a change costs each router a few small
//! messages, regardless of the number of routers.

use crate::mutation::Mutation;
use crate::Action;
use crate::ConfigDelta;
use crate::Node;
use crate::PeerMessage;

impl Node {
    /// Sends the changes since version `before` to a few other routers.
    pub(crate) fn push_config(&mut self, before: u64, out: &mut Vec<Action>) {
        if self.has_mutation(Mutation::KeepConfigToItself) {
            return;
        }
        for vm in self.next_gossip_peers() {
            self.send_config(&vm, before, out);
        }
    }

    /// Applies a delta from another router, or requests what is missing before it.
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

    /// Compares the version of another router with the own one and requests or
    /// sends what is missing.
    pub(crate) fn on_peer_version(&mut self, from: &str, version: u64, out: &mut Vec<Action>) {
        let own = self.active_config.version();
        if version > own {
            self.send_peer(from, PeerMessage::Version(own), out);
        } else if version < own && !self.has_mutation(Mutation::KeepConfigToItself) {
            self.send_config(from, version, out);
        }
    }

    /// Sends the deltas since `version`, or the whole configuration if the log
    /// does not reach that far.
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
