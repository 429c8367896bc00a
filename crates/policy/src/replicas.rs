//! Choice of a replica of a plain service.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interner::NameKey;
use crate::CallId;
use crate::Node;
use crate::ServerKey;
use crate::Time;

/// Calls that this router has at each replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLoads {
    in_flight: BTreeMap<ServerKey, u32>,
}

/// Order in which replicas are tried, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    suspect: bool,
    unlisted: bool,
    far: bool,
    in_flight: u32,
    /// Spreads calls over replicas that are equally good.
    spread: u64,
}

impl ReplicaLoads {
    /// Takes in that a call is sent.
    pub(crate) fn on_sent(&mut self, replica: ServerKey) {
        *self.in_flight.entry(replica).or_default() += 1;
    }

    /// Takes in that a call has ended there.
    pub(crate) fn on_ended(&mut self, replica: ServerKey) {
        if let Some(count) = self.in_flight.get_mut(&replica) {
            *count = count.saturating_sub(1);
        }
    }

    fn at(&self, replica: ServerKey) -> u32 {
        self.in_flight.get(&replica).copied().unwrap_or(0)
    }
}

impl Node {
    /// Returns the replica that a call is sent to: one that answers, in the own
    /// region if there is one, with the fewest calls of this router.
    pub(crate) fn best_replica(
        &self,
        now: Time,
        id: CallId,
        service: &str,
        failed_servers: &[ServerKey],
    ) -> Option<ServerKey> {
        let own_region = self.fleet.regions.find(&self.identity.region);
        self.fleet
            .replicas(service)
            .into_iter()
            .filter(|key| !failed_servers.contains(key))
            .min_by_key(|key| self.preference(now, id, *key, own_region))
    }

    fn preference(
        &self,
        now: Time,
        id: CallId,
        replica: ServerKey,
        own_region: Option<NameKey>,
    ) -> Preference {
        let server = self.fleet.server(replica);
        Preference {
            suspect: server.suspect_until > now,
            unlisted: !server.listed,
            far: Some(server.region) != own_region,
            in_flight: self.replica_loads.at(replica),
            spread: xxh3_64_with_seed(&replica.0.to_le_bytes(), id.0),
        }
    }
}
