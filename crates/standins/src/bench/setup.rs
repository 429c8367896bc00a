//! Constants of the simulated deployments and where they come from.
//!
//! | constant | source |
//! |---|---|
//! | engines, regions, workspaces, routers, block size | current size of the deployments |
//! | latencies | current deployments |
//! | caches evict within seconds | description of the workloads; results from `cache_blocks` |
//! | prefill speed, KV size, link speeds, lags, losses, shapes of prefixes | not specified; `--sweep` varies them |

/// Number of regions.
pub const REGIONS: usize = 3;

/// Number of routers.
pub const ROUTERS: usize = 9;

/// Number of failure domains in each region.
pub const DOMAINS_PER_REGION: usize = 3;

/// Fraction of the requests by workspace; a few workspaces dominate.
pub const WORKSPACE_SHARES: [f64; 8] = [0.34, 0.26, 0.16, 0.08, 0.06, 0.04, 0.04, 0.02];

/// One-way latency between failure domains of a region, in microseconds.
pub const REGION_US: u64 = 1_000;

/// One-way latency between regions, in microseconds.
pub const CROSS_REGION_US: u64 = 5_000;

/// One-way latency between a caller and a router, in microseconds.
pub const CALLER_US: u64 = 1_000;

/// Time that an engine spends on each request in addition to prefill, in microseconds.
pub const OVERHEAD_US: u64 = 5_000;

/// Time between two generated tokens, in microseconds.
pub const TOKEN_US: u64 = 20_000;

/// Latency of a call to the key-value service, in microseconds.
pub const STORE_US: u64 = 3_000;

/// Interval between two load reports of an engine, in microseconds.
pub const LOAD_REPORT_US: u64 = 500_000;

/// Interval between two batches of cache events of an engine, in microseconds.
pub const CACHE_REPORT_US: u64 = 200_000;

/// Interval between two changes of the popularity of prefixes, in microseconds.
pub const SHIFT_US: u64 = 12_000_000;

/// Duration of the warm-up before the measured period, in microseconds.
pub const WARM_UP_US: u64 = 10_000_000;

/// Duration of the measured period, in microseconds.
pub const MEASURED_US: u64 = 50_000_000;

/// Time after the last arrival in which requests may still finish, in microseconds.
pub const COOL_DOWN_US: u64 = 60_000_000;

/// Interval between two engine crashes in the scenario with faults, in microseconds.
pub const CRASH_EVERY_US: u64 = 5_000_000;

/// Time from the crash of an engine to its restart, in microseconds.
pub const DOWN_US: u64 = 3_000_000;

/// Delay until the membership list shows a change, in microseconds.
pub const MEMBERSHIP_LAG_US: u64 = 2_000_000;

/// Number of routers that restart at the same time in the scenario with faults.
pub const RESTARTED_ROUTERS: usize = 4;

/// Time at which these routers restart, in microseconds.
pub const RESTART_ROUTERS_AT_US: u64 = 30_000_000;

/// A class of requests with similar prompts.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of the priority class.
    pub priority: &'static str,
    /// Rank of the priority class; higher ranks go first.
    pub rank: u8,
    /// Deadline, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// Fraction of all requests.
    pub share: f64,
    /// Number of prefix levels in its prompts.
    pub levels: usize,
    /// Minimum and maximum number of prompt tokens after the shared prefix.
    pub tail_tokens: (u64, u64),
    /// Minimum and maximum number of generated tokens.
    pub output_tokens: (u64, u64),
}

/// A deployment with its workload.
///
/// Prompts begin with nested shared prefixes: a family on the first level, then a choice on each
/// further level.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the workload.
    pub workload: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of families, the prefixes of the first level.
    pub families: usize,
    /// Zipf exponent of the popularity of families.
    pub skew: f64,
    /// Number of blocks that each prefix level adds.
    pub level_blocks: [usize; 3],
    /// Number of different prefixes on a level for each prefix of the level above.
    pub level_width: [usize; 3],
    /// The two kinds of requests.
    pub kinds: [RequestKind; 2],
    /// Capacity of an engine's cache, in blocks.
    pub cache_blocks: usize,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of links inside a region, in bytes per microsecond.
    pub region_bytes_per_us: f64,
    /// Bandwidth of links between regions, in bytes per microsecond.
    pub cross_region_bytes_per_us: f64,
    /// Cost of recomputing 1,000 tokens, as an equivalent wait in milliseconds.
    pub recompute_ms_per_1000_tokens: f64,
    /// Cost of 1 MB of traffic between regions, as an equivalent wait in milliseconds.
    pub cross_region_ms_per_mb: f64,
    /// Delay of load reports and of batches of cache events, in microseconds.
    pub report_lag_us: u64,
    /// Fraction of the batches of cache events that are lost.
    pub event_loss: f64,
    /// Fraction of the messages between routers that are lost.
    pub message_loss: f64,
    /// Hit rate that the request rate assumes: with it, engines are busy for `load` of the time.
    pub nominal_hit_rate: f64,
    /// Fraction of time for which engines are to be busy, at the nominal hit rate.
    pub load: f64,
    /// Whether engines crash and routers restart.
    pub faults: bool,
}

/// Load and faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Engines are busy for half of the time.
    Calm,
    /// Engines are busy for four fifths of the time.
    Load80,
    /// Load as in `Calm`, while engines crash, routers restart, more messages and cache events are
    /// lost, and reports arrive later.
    Faults,
}

impl Scenario {
    /// All scenarios, in the order of the table.
    pub const ALL: [Scenario; 3] = [Scenario::Calm, Scenario::Load80, Scenario::Faults];

    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Load80 => "load80",
            Scenario::Faults => "faults",
        }
    }
}

impl Setup {
    /// Returns the deployment with this workload.
    pub fn find(workload: &str) -> Option<Setup> {
        match workload {
            "bursary" => Some(Setup::bursary()),
            "brim" => Some(Setup::brim()),
            _ => None,
        }
    }

    /// Returns the deployment with long reviews and short checks.
    pub fn bursary() -> Setup {
        let review = RequestKind {
            priority: "review",
            rank: 1,
            deadline_ms: 30_000,
            share: 0.7,
            levels: 3,
            tail_tokens: (400, 1_900),
            output_tokens: (100, 400),
        };
        let check = RequestKind {
            priority: "check",
            rank: 2,
            deadline_ms: 10_000,
            share: 0.3,
            levels: 2,
            tail_tokens: (50, 300),
            output_tokens: (5, 20),
        };
        Setup {
            workload: "bursary",
            engines: 20,
            families: 120,
            skew: 0.9,
            level_blocks: [4, 2, 1],
            level_width: [1, 4, 12],
            kinds: [review, check],
            cache_blocks: 120,
            prefill_us_per_token: 40.0,
            kv_bytes_per_token: 16_000,
            region_bytes_per_us: 1_250.0,
            cross_region_bytes_per_us: 125.0,
            recompute_ms_per_1000_tokens: 20.0,
            cross_region_ms_per_mb: 1.0,
            report_lag_us: 300_000,
            event_loss: 0.02,
            message_loss: 0.0,
            nominal_hit_rate: 0.80,
            load: 0.5,
            faults: false,
        }
    }

    /// Returns the deployment with questions about pattern books and lookups of trims.
    pub fn brim() -> Setup {
        let question = RequestKind {
            priority: "question",
            rank: 2,
            deadline_ms: 8_000,
            share: 0.7,
            levels: 3,
            tail_tokens: (200, 1_000),
            output_tokens: (50, 200),
        };
        let lookup = RequestKind {
            priority: "lookup",
            rank: 1,
            deadline_ms: 60_000,
            share: 0.3,
            levels: 1,
            tail_tokens: (50, 300),
            output_tokens: (5, 20),
        };
        Setup {
            workload: "brim",
            engines: 12,
            families: 72,
            skew: 1.1,
            level_blocks: [3, 2, 1],
            level_width: [1, 4, 10],
            kinds: [question, lookup],
            recompute_ms_per_1000_tokens: 2.0,
            ..Setup::bursary()
        }
    }

    /// Returns this deployment with the load and faults of a scenario.
    pub fn under(mut self, scenario: Scenario) -> Setup {
        match scenario {
            Scenario::Calm => self.load = 0.5,
            Scenario::Load80 => self.load = 0.8,
            Scenario::Faults => {
                self.load = 0.5;
                self.faults = true;
                self.event_loss = 0.1;
                self.message_loss = 0.02;
                self.report_lag_us = 600_000;
            }
        }
        self
    }

    /// Returns named variants of this deployment, each with one constant changed.
    pub fn variations(&self) -> Vec<(&'static str, Setup)> {
        let vary = |change: fn(&mut Setup)| {
            let mut setup = self.clone();
            change(&mut setup);
            setup
        };
        vec![
            ("small caches", vary(|s| s.cache_blocks /= 2)),
            ("large caches", vary(|s| s.cache_blocks *= 2)),
            ("small KV cache", vary(|s| s.kv_bytes_per_token /= 8)),
            ("large KV cache", vary(|s| s.kv_bytes_per_token *= 8)),
            ("fast prefill", vary(|s| s.prefill_us_per_token /= 2.0)),
            ("slow prefill", vary(|s| s.prefill_us_per_token *= 2.0)),
            ("old reports", vary(|s| s.report_lag_us *= 4)),
            ("lost events", vary(|s| s.event_loss = 0.2)),
            ("little skew", vary(|s| s.skew -= 0.3)),
            ("much skew", vary(|s| s.skew += 0.3)),
        ]
    }

    /// Returns the mean arrival rate, in requests per second.
    pub fn requests_per_s(&self) -> f64 {
        let mean_prefill_us: f64 = self
            .kinds
            .iter()
            .map(|k| k.share * self.mean_prefill_us(k))
            .sum();
        self.load * self.engines as f64 * 1e6 / mean_prefill_us
    }

    /// Returns the mean time to serve a request of a kind at the nominal hit rate, in microseconds.
    fn mean_prefill_us(&self, kind: &RequestKind) -> f64 {
        let blocks: usize = self.level_blocks[..kind.levels].iter().sum();
        let prefix = blocks as f64 * policy::BLOCK_TOKENS as f64;
        let tail = (kind.tail_tokens.0 + kind.tail_tokens.1) as f64 / 2.0;
        let tokens = prefix * (1.0 - self.nominal_hit_rate) + tail;
        OVERHEAD_US as f64 + tokens * self.prefill_us_per_token
    }

    /// Returns the region of an engine.
    pub fn engine_region(&self, engine: usize) -> usize {
        engine % REGIONS
    }

    /// Returns the region of a router.
    pub fn router_region(&self, router: usize) -> usize {
        router % REGIONS
    }

    /// Returns the one-way latency between two regions, in microseconds.
    pub fn latency_us(&self, from: usize, to: usize) -> u64 {
        match from == to {
            true => REGION_US,
            false => CROSS_REGION_US,
        }
    }
}
