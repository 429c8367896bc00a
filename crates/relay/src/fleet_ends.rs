//! Which incarnations of backend servers are over: replaced at their address, or renewed after all.

use std::sync::Arc;

use policy::Time;

use crate::Fleet;
use crate::FleetChange;
use crate::Reading;
use crate::ServerKey;

impl Fleet {
    /// Records that another server responds at the address of an incarnation, which is over although
    /// it is still registered. Removes the evidence against earlier incarnations that it seemed to have
    /// replaced: they may still run. Returns whether this is new.
    pub fn mark_ended(&mut self, now: Time, key: ServerKey) -> bool {
        let Some(server) = self.get_mut(key) else {
            return false;
        };
        let instance_hash = server.instance_hash;
        let is_new = server.mark_ended(now);
        let replaced = self.servers_mut();
        for server in replaced.filter(|server| server.is_replaced_by(instance_hash)) {
            server.end = None;
        }
        is_new
    }

    /// Marks as replaced all but the latest incarnation of the service of `key` at its address. Registrations
    /// of other services at the address are no evidence: they may be written by mistake, and a server that
    /// has taken over the address rejects requests that expect another one.
    pub(crate) fn mark_replaced(&mut self, now: Time, key: ServerKey) {
        let Some(added) = self.get(key) else {
            return;
        };
        let service = Arc::clone(&added.registration.service);
        let address = added.registration.address;
        let mut incarnations: Vec<_> = self
            .servers_mut()
            .filter(|s| s.registration.address == address && s.registration.service == service)
            .collect();
        let running = incarnations.iter().filter(|server| !server.is_over());
        let Some(latest) = running.max_by_key(|server| server.registration.started_ms) else {
            return;
        };
        let (latest, started_ms) = (latest.instance_hash, latest.registration.started_ms);
        let earlier = incarnations
            .iter_mut()
            .filter(|server| server.registration.started_ms < started_ms);
        for server in earlier {
            server.mark_replaced(now, latest);
        }
    }

    /// Removes the evidence of ends that renewed registrations refute. Returns which servers count as running
    /// again.
    pub(crate) fn clear_refuted_ends(&mut self, reading: Reading) -> Vec<FleetChange> {
        let heartbeat_ms = self.heartbeat_ms;
        let over = self.iter().filter(|(_, server)| server.is_over());
        let over: Vec<ServerKey> = over.map(|(key, _)| key).collect();
        let refuted = over.into_iter().filter(|key| {
            let server = self.get_mut(*key);
            server.is_some_and(|server| server.clear_refuted_end(reading, heartbeat_ms))
        });
        refuted.map(FleetChange::Renewed).collect()
    }
}
