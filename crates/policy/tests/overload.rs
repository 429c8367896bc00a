//! Goodput, ranks and workspace shares when requests exceed the capacity of the engines.

mod common;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use config::Config;
use config::Priority;
use config::Workspace;
use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Generate;
use policy::Identity;
use policy::LoadReport;
use policy::Node;
use policy::PrefixHash;
use policy::Time;
use policy::Work;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::config;
use crate::common::step;
use crate::common::START;

const ENGINES: usize = 4;
const ROUTERS: usize = 3;
const PROMPT_TOKENS: u64 = 5_000;
const PREFILL_MS: u64 = 200;
const DEADLINE_MS: u64 = 3_000;
const LOAD_REPORT_INTERVAL_MS: u64 = 500;
const RUN_MS: u64 = 60_000;

/// Requests per second that the engines can complete.
const CAPACITY_PER_S: f64 = ENGINES as f64 * 1_000.0 / PREFILL_MS as f64;

/// A request that is queued or running on an engine. Jobs sort by rank, highest
/// first, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    reversed_rank: u8,
    call: u64,
    attempt: AttemptId,
    router: usize,
}

/// A simulated engine that processes one prompt at a time, highest rank first.
#[derive(Default)]
struct Engine {
    queue: Vec<Job>,
    busy_until_ms: u64,
    running: Option<Job>,
}

/// Counts of the requests of one rank or workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    offered: u32,
    /// Completed by the deadline.
    in_time: u32,
    /// Completed after the deadline.
    late: u32,
}

/// Routers and engines under a constant load.
struct Simulation {
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// Deadline, rank and workspace of each call.
    calls: BTreeMap<u64, (Time, u8, &'static str)>,
    by_rank: BTreeMap<u8, Tally>,
    by_workspace: BTreeMap<&'static str, Tally>,
    refused_without_retry_time: u32,
}

fn two_workspace_config() -> Arc<Config> {
    let mut cfg = Arc::unwrap_or_clone(config(ENGINES as u16));
    let workspace = cfg.workspaces["trust"].clone();
    for name in ["large", "small"] {
        let added = Workspace {
            token_sha256: name.to_owned(),
            ..workspace.clone()
        };
        cfg.workspaces.insert(name.to_owned(), added);
    }
    for (name, rank) in [("review", 1), ("check", 0)] {
        let priority = Priority {
            rank,
            default_deadline_ms: DEADLINE_MS,
        };
        cfg.priorities.insert(name.to_owned(), priority);
    }
    Arc::new(cfg)
}

fn router(i: usize, cfg: &Arc<Config>) -> Node {
    let identity = Identity {
        vm: format!("vm{i}"),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: 1,
    };
    let mut node = Node::new(identity, i as u64);
    let event = Event::Config {
        version: 1,
        config: cfg.clone(),
    };
    step(&mut node, START, event);
    node
}

impl Simulation {
    /// Runs for a minute with requests at `load` times the capacity.
    fn at_load(load: f64, seed: u64) -> Simulation {
        let cfg = two_workspace_config();
        let mut simulation = Simulation {
            nodes: (0..ROUTERS).map(|i| router(i, &cfg)).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            calls: BTreeMap::new(),
            by_rank: BTreeMap::new(),
            by_workspace: BTreeMap::new(),
            refused_without_retry_time: 0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut next_call = 0;
        for ms in 0..RUN_MS {
            simulation.advance_engines(ms);
            if ms.is_multiple_of(LOAD_REPORT_INTERVAL_MS) {
                simulation.report_loads(ms);
            }
            if rng.random_bool((load * CAPACITY_PER_S / 1_000.0).min(1.0)) {
                next_call += 1;
                simulation.arrive(ms, next_call, &mut rng);
            }
            simulation.tick(ms);
        }
        simulation
    }

    /// Sends a request of a random rank and workspace to a random router.
    fn arrive(&mut self, ms: u64, call: u64, rng: &mut ChaCha8Rng) {
        let rank = u8::from(rng.random_bool(0.2));
        let workspace = if rng.random_bool(0.8) {
            "large"
        } else {
            "small"
        };
        let router = rng.random_range(0..ROUTERS);
        let now = START.plus_millis(ms);
        self.calls
            .insert(call, (now.plus_millis(DEADLINE_MS), rank, workspace));
        self.by_rank.entry(rank).or_default().offered += 1;
        self.by_workspace.entry(workspace).or_default().offered += 1;
        let req = CallRequest {
            call: CallId(call),
            token_sha256: workspace.to_owned(),
            priority: Some(if rank == 1 { "review" } else { "check" }.to_owned()),
            deadline: None,
            fingerprint: call,
            work: Work::Generate(Generate {
                model: "long".to_owned(),
                blocks: vec![PrefixHash(rng.random())],
                prompt_tokens: PROMPT_TOKENS,
                max_tokens: 1,
            }),
        };
        let actions = step(&mut self.nodes[router], now, Event::Call(Box::new(req)));
        self.execute(router, actions);
    }

    /// Executes the actions of a router against the simulated engines.
    fn execute(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let engine = usize::from(dispatch.address.port()) - 8_001;
                    self.engines[engine].queue.push(Job {
                        reversed_rank: u8::MAX - dispatch.rank,
                        call: dispatch.at.call.0,
                        attempt: dispatch.at.attempt,
                        router,
                    });
                }
                Action::Refuse { refusal, .. } if refusal.retry_at().is_none() => {
                    self.refused_without_retry_time += 1;
                }
                Action::Cancel(at) => {
                    for engine in &mut self.engines {
                        engine.queue.retain(|job| job.call != at.call.0);
                    }
                }
                _ => {}
            }
        }
    }

    /// Completes jobs that have reached their end and starts the next ones.
    fn advance_engines(&mut self, ms: u64) {
        for i in 0..ENGINES {
            let engine = &mut self.engines[i];
            if engine.busy_until_ms > ms {
                continue;
            }
            let finished = engine.running.take();
            engine.queue.sort_unstable();
            if !engine.queue.is_empty() {
                engine.running = Some(engine.queue.remove(0));
                engine.busy_until_ms = ms + PREFILL_MS;
            }
            if let Some(job) = finished {
                self.finish_job(ms, job);
            }
        }
    }

    /// Counts a completed job and reports it to its router.
    fn finish_job(&mut self, ms: u64, job: Job) {
        let now = START.plus_millis(ms);
        let (deadline, rank, workspace) = self.calls[&job.call];
        let in_time = u32::from(now <= deadline);
        for tally in [
            self.by_rank.entry(rank).or_default(),
            self.by_workspace.entry(workspace).or_default(),
        ] {
            tally.in_time += in_time;
            tally.late += 1 - in_time;
        }
        for report in [
            BackendReport::FirstToken,
            BackendReport::Finished { output_tokens: 1 },
        ] {
            let event = Event::Backend {
                call: CallId(job.call),
                attempt: job.attempt,
                report,
            };
            let actions = step(&mut self.nodes[job.router], now, event);
            self.execute(job.router, actions);
        }
    }

    fn report_loads(&mut self, ms: u64) {
        let now = START.plus_millis(ms);
        for i in 0..ENGINES {
            let engine = &self.engines[i];
            let remaining_ms = engine.busy_until_ms.saturating_sub(ms);
            let queued = engine.queue.len() as u64 * PROMPT_TOKENS;
            let report = LoadReport {
                server: format!("engine{}", i + 1),
                incarnation: policy::Incarnation(1),
                at: now,
                queued_tokens: queued + remaining_ms * PROMPT_TOKENS / PREFILL_MS,
                running: u32::from(engine.running.is_some()),
                leaving: false,
                weights: None,
            };
            for router in 0..ROUTERS {
                let event = Event::Load(report.clone());
                let actions = step(&mut self.nodes[router], now, event);
                self.execute(router, actions);
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        let now = START.plus_millis(ms);
        for router in 0..ROUTERS {
            if self.nodes[router]
                .next_deadline()
                .is_some_and(|at| at <= now)
            {
                let actions = step(&mut self.nodes[router], now, Event::Tick);
                self.execute(router, actions);
            }
        }
    }

    /// Returns the requests completed in time, per second.
    fn goodput(&self) -> f64 {
        let in_time: u32 = self.by_rank.values().map(|tally| tally.in_time).sum();
        f64::from(in_time) * 1_000.0 / RUN_MS as f64
    }
}

impl fmt::Display for Simulation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |tally: &Tally| 100.0 * fraction_in_time(tally);
        write!(
            f,
            "{:.1} requests in time per second; in time: {:.0}% of the higher rank, {:.0}% of the \
             lower, {:.0}% of the small workspace, {:.0}% of the large",
            self.goodput(),
            percent(&self.by_rank[&1]),
            percent(&self.by_rank[&0]),
            percent(&self.by_workspace["small"]),
            percent(&self.by_workspace["large"]),
        )
    }
}

fn fraction_in_time(tally: &Tally) -> f64 {
    f64::from(tally.in_time) / f64::from(tally.offered)
}

#[test]
fn goodput_at_twice_the_capacity_is_at_least_nine_tenths_of_the_best() {
    let loads = [0.8, 1.0, 1.2, 1.5, 2.0, 3.0];
    let runs = loads.map(|load| (load, Simulation::at_load(load, 1)));
    for (load, simulation) in &runs {
        println!("{simulation} at {load} times the capacity");
    }

    let best = runs.iter().map(|(_, simulation)| simulation.goodput());
    let best = best.fold(0.0, f64::max);
    let overloaded = runs[4].1.goodput();

    assert!(
        overloaded >= 0.9 * best,
        "{overloaded} of {best} per second"
    );
}

#[test]
fn requests_of_the_higher_rank_complete_in_time_at_twice_the_capacity() {
    let simulation = Simulation::at_load(2.0, 2);

    let fraction = fraction_in_time(&simulation.by_rank[&1]);
    assert!(fraction >= 0.95, "{fraction} of the higher rank in time");
}

#[test]
fn a_small_workspace_gets_its_share_next_to_an_overloading_one() {
    let simulation = Simulation::at_load(2.0, 3);

    let small = fraction_in_time(&simulation.by_workspace["small"]);
    let large = fraction_in_time(&simulation.by_workspace["large"]);
    assert!(small >= 0.9, "small {small}, large {large}");
}

#[test]
fn each_refusal_under_overload_has_a_retry_time() {
    let simulation = Simulation::at_load(2.0, 4);

    assert_eq!(simulation.refused_without_retry_time, 0);
}
