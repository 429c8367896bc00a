//! Homes of cached parts: the engines that come first by rendezvous hashing, the
//! same on every router.

use crate::holdings::PartKey;
use crate::BackendServer;
use crate::ServerKey;

/// Places in the order of homes that are told apart.
const MAX_RANK: usize = 4;

/// The first engines in the order of homes of a part.
#[derive(Clone, Debug)]
pub(crate) struct Homes {
    part: PartKey,
    /// Highest weights of the engines for the part, highest first.
    first: Vec<u64>,
}

impl Homes {
    /// Orders `engines` as homes of a part.
    pub(crate) fn new(part: PartKey, engines: &[(ServerKey, &BackendServer)]) -> Homes {
        let weights = engines.iter().map(|(_, engine)| weight(part, engine));
        let mut first: Vec<u64> = weights.collect();
        first.sort_unstable_by(|a, b| b.cmp(a));
        first.truncate(MAX_RANK);
        Homes { part, first }
    }

    /// Returns how many engines come before `engine`, as far as they are told apart.
    pub(crate) fn rank(&self, engine: &BackendServer) -> usize {
        let own = weight(self.part, engine);
        self.first.iter().filter(|first| **first > own).count()
    }
}

/// Returns the weight of an engine as home of a part.
pub(crate) fn weight(part: PartKey, engine: &BackendServer) -> u64 {
    policy::rendezvous_weight(part.0, engine.instance_hash)
}
