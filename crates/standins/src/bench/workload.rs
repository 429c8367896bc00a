//! Random requests with nested shared prefixes, reproducible by their seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use policy::PrefixHash;

use crate::bench::setup::RequestKind;
use crate::bench::setup::Setup;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::SHIFT_US;
use crate::bench::setup::WARM_UP_US;
use crate::bench::setup::WORKSPACE_SHARES;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival at the router, in microseconds.
    pub at_us: u64,
    /// Index of the router that receives it.
    pub router: usize,
    /// Index of the workspace.
    pub workspace: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<PrefixHash>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
}

/// Returns the requests of a run in the order of their arrival.
pub fn requests(setup: &Setup, seed: u64) -> Vec<Request> {
    RequestGenerator::new(setup, seed).generate()
}

/// Generator of the requests of one run.
struct RequestGenerator<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    /// Families, the most popular first.
    ranking: Vec<usize>,
    /// Cumulative popularity of the families in the ranking, by a Zipf distribution.
    cumulative: Vec<f64>,
    /// Time of the next change of the ranking, in microseconds.
    next_shift_us: u64,
}

impl<'a> RequestGenerator<'a> {
    fn new(setup: &'a Setup, seed: u64) -> RequestGenerator<'a> {
        let mut sum = 0.0;
        let cumulative = (0..setup.families)
            .map(|rank| {
                sum += 1.0 / (rank as f64 + 1.0).powf(setup.skew);
                sum
            })
            .collect();
        RequestGenerator {
            setup,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ranking: (0..setup.families).collect(),
            cumulative,
            next_shift_us: SHIFT_US,
        }
    }

    /// Generates Poisson arrivals up to the end of the measured period.
    fn generate(mut self) -> Vec<Request> {
        let rate = self.setup.requests_per_s();
        let mut at = 0.0;
        let mut out = Vec::new();
        loop {
            let uniform: f64 = self.rng.random();
            at += -(1.0 - uniform).ln() / rate * 1e6;
            let at_us = at as u64;
            if at_us >= WARM_UP_US + MEASURED_US {
                return out;
            }
            while at_us >= self.next_shift_us {
                self.promote_cold_family();
            }
            out.push(self.request(at_us));
        }
    }

    /// Moves a random family from the lower half of the ranking to its top.
    fn promote_cold_family(&mut self) {
        self.next_shift_us += SHIFT_US;
        let cold = self
            .rng
            .random_range(self.ranking.len() / 2..self.ranking.len());
        let family = self.ranking.remove(cold);
        self.ranking.insert(0, family);
    }

    fn request(&mut self, at_us: u64) -> Request {
        let family = self.family();
        let kind = self.kind();
        let blocks = self.blocks(family, &kind);
        let (least, most) = kind.tail_tokens;
        let tail = self.rng.random_range(least..=most);
        let (least, most) = kind.output_tokens;
        Request {
            at_us,
            router: self.rng.random_range(0..ROUTERS),
            workspace: workspace_of(family),
            prompt_tokens: blocks.len() as u64 * policy::BLOCK_TOKENS + tail,
            output_tokens: self.rng.random_range(least..=most),
            blocks,
            kind,
        }
    }

    /// Returns a random family, weighted by popularity.
    fn family(&mut self) -> usize {
        let total = self.cumulative[self.cumulative.len() - 1];
        let point = self.rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    fn kind(&mut self) -> RequestKind {
        let [first, second] = self.setup.kinds;
        match self.rng.random::<f64>() < first.share {
            true => first,
            false => second,
        }
    }

    /// Returns block hashes for a random path of prefixes below a family.
    fn blocks(&mut self, family: usize, kind: &RequestKind) -> Vec<PrefixHash> {
        let mut blocks = Vec::new();
        let mut path = family as u64 + 1;
        for level in 0..kind.levels {
            let choice = self.rng.random_range(0..self.setup.level_width[level]);
            path = path * 1_000 + choice as u64;
            for block in 0..self.setup.level_blocks[level] {
                let name = path * 100 + block as u64;
                blocks.push(PrefixHash(name * 10 + level as u64));
            }
        }
        blocks
    }
}

/// Returns the workspace of a family; each workspace has about its share of the families.
fn workspace_of(family: usize) -> usize {
    let point = (family as f64 * 0.618_034).fract();
    let mut sum = 0.0;
    for (workspace, share) in WORKSPACE_SHARES.iter().enumerate() {
        sum += share;
        if point < sum {
            return workspace;
        }
    }
    WORKSPACE_SHARES.len() - 1
}
