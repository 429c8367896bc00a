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
        if self.is_off(Mutation::KeepConfigToItself) {
            return;
        }
        for vm in self.some_routers() {
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
        let own = self.rollout.version();
        if delta.version <= own {
            return;
        }
        match self.rollout.apply(delta) {
            Some(cfg) => self.on_config(delta.version, &cfg, out),
            None => self.tell(from, PeerMessage::Version(own), out),
        }
    }

    /// Takes in which version another router has.
    pub(crate) fn on_peer_version(&mut self, from: &str, version: u64, out: &mut Vec<Action>) {
        let own = self.rollout.version();
        if version > own {
            self.tell(from, PeerMessage::Version(own), out);
        } else if version < own && !self.is_off(Mutation::KeepConfigToItself) {
            self.send_config(from, version, out);
        }
    }

    /// Sends what is missing since `version`, or the whole if the log does not
    /// reach that far.
    fn send_config(&self, vm: &str, version: u64, out: &mut Vec<Action>) {
        if let Some(deltas) = self.rollout.since(version) {
            for delta in deltas {
                self.tell(vm, PeerMessage::ConfigDelta(delta), out);
            }
            return;
        }
        if let Some(config) = self.rollout.config().cloned() {
            let version = self.rollout.version();
            self.tell(vm, PeerMessage::Config { version, config }, out);
        }
    }
}
