//! Seeded requests with nested prefixes.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use policy::PrefixHash;

use crate::bench::setup::Kind;
use crate::bench::setup::Setup;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::SHIFT_US;
use crate::bench::setup::WARM_UP_US;
use crate::bench::setup::WORKSPACE_SHARES;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival at the router, in microseconds.
    pub at_us: u64,
    /// Router that takes it.
    pub router: usize,
    /// Workspace.
    pub workspace: usize,
    /// Kind.
    pub kind: Kind,
    /// Content of the whole pieces.
    pub blocks: Vec<PrefixHash>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
}

/// Makes the requests of a run, in the order of their arrivals.
pub fn requests(setup: &Setup, seed: u64) -> Vec<Request> {
    Workload::new(setup, seed).run()
}

struct Workload<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    /// Families in the order of their popularity.
    ranking: Vec<usize>,
    cumulative: Vec<f64>,
    next_shift_us: u64,
}

impl<'a> Workload<'a> {
    fn new(setup: &'a Setup, seed: u64) -> Workload<'a> {
        let mut sum = 0.0;
        let cumulative = (0..setup.families)
            .map(|rank| {
                sum += 1.0 / (rank as f64 + 1.0).powf(setup.skew);
                sum
            })
            .collect();
        Workload {
            setup,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ranking: (0..setup.families).collect(),
            cumulative,
            next_shift_us: SHIFT_US,
        }
    }

    fn run(mut self) -> Vec<Request> {
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
                self.shift();
            }
            out.push(self.request(at_us));
        }
    }

    /// Makes a cold family the most popular one.
    fn shift(&mut self) {
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

    fn family(&mut self) -> usize {
        let total = self.cumulative[self.cumulative.len() - 1];
        let point = self.rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    fn kind(&mut self) -> Kind {
        let [first, second] = self.setup.kinds;
        match self.rng.random::<f64>() < first.share {
            true => first,
            false => second,
        }
    }

    fn blocks(&mut self, family: usize, kind: &Kind) -> Vec<PrefixHash> {
        let mut blocks = Vec::new();
        let mut path = family as u64 + 1;
        for level in 0..kind.levels {
            let choice = self.rng.random_range(0..self.setup.level_width[level]);
            path = path * 1_000 + choice as u64;
            for piece in 0..self.setup.level_pieces[level] {
                let name = path * 100 + piece as u64;
                blocks.push(PrefixHash(name * 10 + level as u64));
            }
        }
        blocks
    }
}

/// Returns the workspace that a family of prefixes belongs to.
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
