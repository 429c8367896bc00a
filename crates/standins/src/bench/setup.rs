//! Constants of the modelled deployments.
//!
//! | constant | source |
//! |---|---|
//! | runners, regions, workspaces, routers, piece size | sizes of today |
//! | latencies | sizes of today |
//! | caches evict within seconds | the workloads' text; `cache_pieces` gives it |
//! | prefill speed, KV size, link speeds, lags, losses, shapes of prefixes | silent; `--sweep` varies them |

/// Regions of a deployment.
pub const REGIONS: usize = 3;

/// Routers of a deployment.
pub const ROUTERS: usize = 9;

/// Failure domains of a region.
pub const DOMAINS_PER_REGION: usize = 3;

/// Shares of the requests that the workspaces make, a few of them large.
pub const WORKSPACE_SHARES: [f64; 8] = [0.34, 0.26, 0.16, 0.08, 0.06, 0.04, 0.04, 0.02];

/// One-way latency between failure domains of a region, in microseconds.
pub const REGION_US: u64 = 1_000;

/// One-way latency between regions, in microseconds.
pub const CROSS_REGION_US: u64 = 5_000;

/// One-way latency between a caller and a router, in microseconds.
pub const CALLER_US: u64 = 1_000;

/// Time that an engine spends on each request besides prefill, in microseconds.
pub const OVERHEAD_US: u64 = 5_000;

/// Time between two generated tokens, in microseconds.
pub const TOKEN_US: u64 = 20_000;

/// Time of a call to the key-value service, in microseconds.
pub const STORE_US: u64 = 3_000;

/// Pause between two load reports of an engine, in microseconds.
pub const LOAD_REPORT_US: u64 = 500_000;

/// Pause between two batches of cache events of an engine, in microseconds.
pub const CACHE_REPORT_US: u64 = 200_000;

/// Pause between two shifts of popularity, in microseconds.
pub const SHIFT_US: u64 = 12_000_000;

/// Time at the start of a run that isn't measured, in microseconds.
pub const WARM_UP_US: u64 = 10_000_000;

/// Time for which arrivals are measured, in microseconds.
pub const MEASURED_US: u64 = 50_000_000;

/// Time after the last arrival in which calls may end, in microseconds.
pub const COOL_DOWN_US: u64 = 60_000_000;

/// Pause between two crashes of engines under faults, in microseconds.
pub const CRASH_EVERY_US: u64 = 5_000_000;

/// Time for which a crashed engine is down, in microseconds.
pub const DOWN_US: u64 = 3_000_000;

/// Age of the membership list, in microseconds.
pub const MEMBERSHIP_LAG_US: u64 = 2_000_000;

/// Routers that restart at once under faults.
pub const HERD: usize = 4;

/// Time at which they restart, in microseconds.
pub const HERD_AT_US: u64 = 30_000_000;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Priority class.
    pub priority: &'static str,
    /// Rank of the class.
    pub rank: u8,
    /// Deadline, in milliseconds after the arrival.
    pub deadline_ms: u64,
    /// Part of the requests.
    pub share: f64,
    /// Prefix levels that its prompts have.
    pub levels: usize,
    /// Prompt tokens after the shared prefix, least and most.
    pub tail_tokens: (u64, u64),
    /// Tokens that are generated, least and most.
    pub output_tokens: (u64, u64),
}

/// A deployment under a load.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the workload.
    pub workload: &'static str,
    /// Model runners.
    pub runners: usize,
    /// Prefixes of the first level.
    pub families: usize,
    /// Exponent of the popularity of families.
    pub skew: f64,
    /// Pieces of each prefix level.
    pub level_pieces: [usize; 3],
    /// Prefixes of a level below each one of the level above.
    pub level_width: [usize; 3],
    /// Kinds of requests.
    pub kinds: [Kind; 2],
    /// Pieces that an engine's cache holds.
    pub cache_pieces: usize,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Speed of the links inside a region, in bytes per microsecond.
    pub region_bytes_per_us: f64,
    /// Speed of the links between regions, in bytes per microsecond.
    pub cross_region_bytes_per_us: f64,
    /// Price of recomputation, in milliseconds of waiting for 1,000 tokens.
    pub recompute_ms_per_1000_tokens: f64,
    /// Price of traffic between regions, in milliseconds of waiting for 1 MB.
    pub cross_region_ms_per_mb: f64,
    /// Age of a load report or a batch of cache events on its arrival, in microseconds.
    pub report_lag_us: u64,
    /// Part of the batches of cache events that get lost.
    pub event_loss: f64,
    /// Part of the messages between routers that get lost.
    pub message_loss: f64,
    /// Hit rate at which `load` would keep the runners busy for that part of the time.
    pub nominal_hit_rate: f64,
    /// Load as a part of the runners' time.
    pub load: f64,
    /// Whether faults happen.
    pub faults: bool,
}

/// Circumstances of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Half of the runners' time is used.
    Calm,
    /// Four fifths of the runners' time are used.
    Load80,
    /// As calm, while engines crash, routers restart and messages get lost.
    Faults,
}

impl Scenario {
    /// All scenarios in the order of the table.
    pub const ALL: [Scenario; 3] = [Scenario::Calm, Scenario::Load80, Scenario::Faults];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Load80 => "load80",
            Scenario::Faults => "faults",
        }
    }
}

impl Setup {
    /// Returns the deployment of this name.
    pub fn find(workload: &str) -> Option<Setup> {
        match workload {
            "bursary" => Some(Setup::bursary()),
            "brim" => Some(Setup::brim()),
            _ => None,
        }
    }

    /// Returns the deployment with long reviews and quick checks.
    pub fn bursary() -> Setup {
        let review = Kind {
            priority: "review",
            rank: 1,
            deadline_ms: 30_000,
            share: 0.7,
            levels: 3,
            tail_tokens: (400, 1_900),
            output_tokens: (100, 400),
        };
        let check = Kind {
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
            runners: 20,
            families: 120,
            skew: 0.9,
            level_pieces: [4, 2, 1],
            level_width: [1, 4, 12],
            kinds: [review, check],
            cache_pieces: 120,
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

    /// Returns the deployment with pattern-book questions and trim lookups.
    pub fn brim() -> Setup {
        let question = Kind {
            priority: "question",
            rank: 2,
            deadline_ms: 8_000,
            share: 0.7,
            levels: 3,
            tail_tokens: (200, 1_000),
            output_tokens: (50, 200),
        };
        let lookup = Kind {
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
            runners: 12,
            families: 72,
            skew: 1.1,
            level_pieces: [3, 2, 1],
            level_width: [1, 4, 10],
            kinds: [question, lookup],
            recompute_ms_per_1000_tokens: 2.0,
            ..Setup::bursary()
        }
    }

    /// Returns this deployment in the given circumstances.
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

    /// Returns this deployment with other values of what the pages don't say.
    pub fn variations(&self) -> Vec<(&'static str, Setup)> {
        let vary = |change: fn(&mut Setup)| {
            let mut setup = self.clone();
            change(&mut setup);
            setup
        };
        vec![
            ("small caches", vary(|s| s.cache_pieces /= 2)),
            ("large caches", vary(|s| s.cache_pieces *= 2)),
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

    /// Returns the requests that arrive in a second.
    pub fn requests_per_s(&self) -> f64 {
        let work_us: f64 = self.kinds.iter().map(|k| k.share * self.work_us(k)).sum();
        self.load * self.runners as f64 * 1e6 / work_us
    }

    fn work_us(&self, kind: &Kind) -> f64 {
        let blocks: usize = self.level_pieces[..kind.levels].iter().sum();
        let prefix = blocks as f64 * policy::BLOCK_TOKENS as f64;
        let tail = (kind.tail_tokens.0 + kind.tail_tokens.1) as f64 / 2.0;
        let tokens = prefix * (1.0 - self.nominal_hit_rate) + tail;
        OVERHEAD_US as f64 + tokens * self.prefill_us_per_token
    }

    /// Returns the region in which runner `engine` stands.
    pub fn engine_region(&self, engine: usize) -> usize {
        engine % REGIONS
    }

    /// Returns the region in which a router stands.
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
