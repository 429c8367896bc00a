//! What this router announces to the others in its next gossip messages.

use relay::ServerKey;

use crate::announced::announce;
use crate::announced::Announced;
use crate::clock::now;
use crate::peers::Peers;
use crate::sent_part::SentPart;
use crate::weights_switch::WeightsSwitch;

/// Time by which a switch must last longer than announced to be announced again, in milliseconds.
const MIN_SWITCH_EXTENSION_MS: u64 = 500;

impl Peers {
    /// Announces a prompt part that was sent to an engine, in the next regular message.
    pub fn announce_part(&self, sent: SentPart) {
        announce(&self.parts, sent);
    }

    /// Announces at once that an engine switches to new weights. Does nothing while an
    /// announcement for the engine with this or a newer version, and an end that is not
    /// much earlier, is being repeated.
    pub fn announce_switch(&self, switch: WeightsSwitch) {
        let mut switches = self.switches.borrow_mut();
        // The end of the same switch varies with the delay of the message that reported it.
        let is_known = |known: &WeightsSwitch| {
            known.server == switch.server
                && known.version >= switch.version
                && known.until.plus_millis(MIN_SWITCH_EXTENSION_MS) > switch.until
        };
        if switches.iter().any(|announced| is_known(&announced.value)) {
            return;
        }
        switches.retain(|announced| announced.value.server != switch.server);
        switches.push(Announced::new(switch));
        self.wake.notify_one();
    }

    /// Announces at once the weights that an engine reported, unless they are being
    /// announced already.
    pub fn announce_weights(&self, server: ServerKey, model: &str, version: u64) {
        if announce(&self.weights, (server, model.to_owned(), version)) {
            self.wake.notify_one();
        }
    }

    /// Announces at once that an incarnation of a backend server is over, unless that is
    /// being announced already.
    pub fn announce_ended(&self, instance_hash: u64) {
        if announce(&self.ended, instance_hash) {
            self.wake.notify_one();
        }
    }

    /// Removes announcements that were repeated long enough.
    pub fn remove_expired(&self) {
        let now = now();
        self.parts.borrow_mut().retain(|part| part.is_recent(now));
        self.switches
            .borrow_mut()
            .retain(|switch| switch.is_recent(now));
        self.weights
            .borrow_mut()
            .retain(|weights| weights.is_recent(now));
        self.ended.borrow_mut().retain(|ended| ended.is_recent(now));
    }
}
