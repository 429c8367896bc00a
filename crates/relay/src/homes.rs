//! Homes of cached parts: the engines that come first by rendezvous hashing, the
//! same on every router.

use crate::holdings::PartKey;
use crate::BackendServer;
use crate::ServerKey;

/// Places in the order of homes that are told apart.
const MAX_RANK: usize = 4;

/// The first engines in the order of homes of a part.
#[derive(Clone, Debug)]
pub(crate) struct RendezvousRanking {
    part: PartKey,
    /// Highest weights of the engines for the part, highest first.
    top_weights: Vec<u64>,
}

impl RendezvousRanking {
    /// Orders `engines` as homes of a part.
    pub(crate) fn new(part: PartKey, engines: &[(ServerKey, &BackendServer)]) -> RendezvousRanking {
        let weights = engines
            .iter()
            .map(|(_, engine)| engine_weight(part, engine));
        let mut top_weights: Vec<u64> = weights.collect();
        top_weights.sort_unstable_by(|a, b| b.cmp(a));
        top_weights.truncate(MAX_RANK);
        RendezvousRanking { part, top_weights }
    }

    /// Returns how many engines come before `engine`, as far as they are told apart.
    pub(crate) fn rank(&self, engine: &BackendServer) -> usize {
        let own = engine_weight(self.part, engine);
        self.top_weights.iter().filter(|top| **top > own).count()
    }
}

/// Returns the weight of an engine as home of a part.
pub(crate) fn engine_weight(part: PartKey, engine: &BackendServer) -> u64 {
    policy::rendezvous_weight(part.0, engine.mark)
}
