//! Rendezvous hashing: ranks engines for a cached part in the same order on every router.

use crate::residency::PartKey;
use crate::BackendServer;
use crate::ServerKey;

/// Number of distinct ranks; all lower-ranked engines count as equal.
const MAX_RANK: usize = 4;

/// The highest-ranked engines for one part.
#[derive(Clone, Debug)]
pub(crate) struct RendezvousRanking {
    part: PartKey,
    /// Rendezvous weights of the highest-ranked engines, highest first.
    top_weights: Vec<u64>,
}

impl RendezvousRanking {
    /// Ranks `engines` for a part.
    pub(crate) fn new(part: PartKey, engines: &[(ServerKey, &BackendServer)]) -> RendezvousRanking {
        let weights = engines
            .iter()
            .map(|(_, engine)| engine_weight(part, engine));
        let mut top_weights: Vec<u64> = weights.collect();
        top_weights.sort_unstable_by(|a, b| b.cmp(a));
        top_weights.truncate(MAX_RANK);
        RendezvousRanking { part, top_weights }
    }

    /// Returns the rank of an engine, from 0 for the first to `MAX_RANK`.
    pub(crate) fn rank(&self, engine: &BackendServer) -> usize {
        let own = engine_weight(self.part, engine);
        self.top_weights.iter().filter(|top| **top > own).count()
    }
}

/// Returns the rendezvous weight of an engine for a part.
pub(crate) fn engine_weight(part: PartKey, engine: &BackendServer) -> u64 {
    policy::rendezvous_weight(part.0, engine.instance_hash)
}
