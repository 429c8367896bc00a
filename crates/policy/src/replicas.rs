//! Choice of a replica of a plain service.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interner::NameKey;
use crate::CallId;
use crate::Node;
use crate::ServerKey;
use crate::Time;

/// Number of calls that this router has in flight at each replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLoads {
    in_flight: BTreeMap<ServerKey, u32>,
}

/// Sort key of a replica; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    suspect: bool,
    unlisted: bool,
    other_region: bool,
    in_flight: u32,
    /// Hash that spreads calls over equally good replicas.
    spread: u64,
}

impl ReplicaLoads {
    /// Records that a call is sent to the replica.
    pub(crate) fn on_sent(&mut self, replica: ServerKey) {
        *self.in_flight.entry(replica).or_default() += 1;
    }

    /// Records that a call at the replica has ended.
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
    /// Returns the best replica for a call: reachable, in this router's region
    /// if possible, with the fewest calls in flight from this router.
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
            other_region: Some(server.region) != own_region,
            in_flight: self.replica_loads.at(replica),
            spread: xxh3_64_with_seed(&replica.0.to_le_bytes(), id.0),
        }
    }
}
