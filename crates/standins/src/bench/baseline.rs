//! Baseline policies for comparison.
//!
//! Only the oracle knows the contents of the engines' caches; it reads them from the simulation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use policy::BackendReport;
use policy::Failure;
use policy::BLOCK_TOKENS;

use crate::bench::engine::Engine;
use crate::bench::router::Dispatch;
use crate::bench::router::Input;
use crate::bench::router::Output;
use crate::bench::router::Router;
use crate::bench::router::SimulationView;
use crate::bench::setup::Setup;
use crate::bench::world::block_keys;

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 5;

/// Number of engines that `least_loaded` samples.
const SAMPLED_ENGINES: usize = 8;

/// Cost of caching tokens on one more engine, as a fraction of the time to compute them.
///
/// Without it, a greedy choice fills the caches with copies and collapses under load.
const COPY_PRICE: f64 = 1.0;

/// How a baseline policy selects an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any engine.
    Random,
    /// The least loaded one of a random sample.
    LeastLoaded,
    /// The first one by rendezvous hashing of the first block.
    Rendezvous,
    /// The one of lowest cost, given the state of every cache and queue.
    Oracle,
}

/// A router that selects engines by a [`Rule`].
pub struct Baseline {
    rule: Rule,
    rng: ChaCha8Rng,
    calls: BTreeMap<usize, Call>,
    /// Deadlines of the calls in progress, in microseconds, with their requests.
    deadlines: BTreeSet<(u64, usize)>,
    loads: Vec<Load>,
    members: BTreeSet<usize>,
}

/// A request in progress.
#[derive(Default)]
struct Call {
    attempt: u32,
    engine: usize,
    started: bool,
    failed_at: BTreeSet<usize>,
    deadline_us: u64,
}

/// Load of one engine, in prompt tokens.
#[derive(Clone, Copy, Default)]
struct Load {
    /// Queued tokens in the last load report.
    reported: u64,
    /// Tokens of this router's attempts without a first token.
    own: u64,
}

impl Baseline {
    /// Creates a router that has no membership list yet.
    pub fn new(rule: Rule, engines: usize, seed: u64) -> Baseline {
        Baseline {
            rule,
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            loads: vec![Load::default(); engines],
            members: BTreeSet::new(),
        }
    }

    fn handle_arrival(
        &mut self,
        now_us: u64,
        request: usize,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    ) {
        let deadline_us = now_us + view.requests[request].kind.deadline_ms * 1_000;
        self.deadlines.insert((deadline_us, request));
        let call = Call {
            deadline_us,
            ..Call::default()
        };
        self.calls.insert(request, call);
        self.dispatch(now_us, request, view, out);
    }

    fn dispatch(
        &mut self,
        now_us: u64,
        request: usize,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    ) {
        let failed_at = self.calls[&request].failed_at.clone();
        let candidate_engines: Vec<usize> = match self.rule {
            Rule::Oracle => (0..view.engines.len())
                .filter(|i| view.engines[*i].up)
                .collect(),
            _ => self.members.difference(&failed_at).copied().collect(),
        };
        let choice = self.choose(now_us, request, &candidate_engines, view);
        let is_exhausted = self.calls[&request].attempt >= MAX_ATTEMPTS;
        let Some((engine, fetch_from)) = choice.filter(|_| !is_exhausted) else {
            self.remove_call(request);
            let reason = match is_exhausted {
                true => "attempts_failed",
                false => "no_backend_server",
            };
            out.push(Output::Refuse { request, reason });
            return;
        };
        let call = self
            .calls
            .get_mut(&request)
            .expect("the call is in progress");
        call.attempt += 1;
        call.engine = engine;
        self.loads[engine].own += view.requests[request].prompt_tokens;
        out.push(Output::Dispatch(Dispatch {
            request,
            attempt: call.attempt,
            engine,
            incarnation: 0,
            fetch_from,
        }));
    }

    /// Returns an engine and, optionally, an engine to fetch from with its incarnation.
    fn choose(
        &mut self,
        now_us: u64,
        request: usize,
        candidate_engines: &[usize],
        view: &SimulationView<'_>,
    ) -> Option<(usize, Option<(usize, u64)>)> {
        if candidate_engines.is_empty() {
            return None;
        }
        let without_fetch = |engine: usize| (engine, None);
        match self.rule {
            Rule::Random => Some(without_fetch(
                candidate_engines[self.rng.random_range(0..candidate_engines.len())],
            )),
            Rule::LeastLoaded => (0..SAMPLED_ENGINES)
                .map(|_| candidate_engines[self.rng.random_range(0..candidate_engines.len())])
                .min_by_key(|i| self.loads[*i].reported + self.loads[*i].own)
                .map(without_fetch),
            Rule::Rendezvous => {
                let family = view.requests[request].blocks[0].0;
                candidate_engines
                    .iter()
                    .copied()
                    .max_by_key(|i| rendezvous_weight(family, *i as u64))
                    .map(without_fetch)
            }
            Rule::Oracle => oracle(now_us, request, candidate_engines, view),
        }
    }

    fn handle_report(
        &mut self,
        now_us: u64,
        request: usize,
        report: &BackendReport,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    ) {
        match report {
            BackendReport::FirstToken => {
                self.subtract_own_load(request, view);
                self.calls
                    .get_mut(&request)
                    .expect("the call is in progress")
                    .started = true;
            }
            BackendReport::Finished { .. } => self.remove_call(request),
            BackendReport::Failed { failure, .. } => {
                self.subtract_own_load(request, view);
                let call = self
                    .calls
                    .get_mut(&request)
                    .expect("the call is in progress");
                if *failure != Failure::StaleIncarnation {
                    call.failed_at.insert(call.engine);
                }
                self.dispatch(now_us, request, view, out);
            }
            BackendReport::Started { .. } | BackendReport::Responded(_) => {}
        }
    }

    /// Subtracts a request without a first token from the own load of its engine.
    fn subtract_own_load(&mut self, request: usize, view: &SimulationView<'_>) {
        let call = &self.calls[&request];
        if !call.started {
            let own = &mut self.loads[call.engine].own;
            *own = own.saturating_sub(view.requests[request].prompt_tokens);
        }
    }

    fn remove_call(&mut self, request: usize) {
        if let Some(call) = self.calls.remove(&request) {
            self.deadlines.remove(&(call.deadline_us, request));
        }
    }

    /// Refuses the requests whose deadline has passed before their first token.
    fn refuse_expired(&mut self, now_us: u64, view: &SimulationView<'_>, out: &mut Vec<Output>) {
        while let Some((_, request)) = self.deadlines.first().copied().filter(|d| d.0 <= now_us) {
            self.deadlines.pop_first();
            let call = &self.calls[&request];
            if call.started {
                continue;
            }
            out.push(Output::Cancel {
                request,
                attempt: call.attempt,
                engine: call.engine,
            });
            let reason = "deadline_passed";
            out.push(Output::Refuse { request, reason });
            self.subtract_own_load(request, view);
            self.remove_call(request);
        }
    }
}

impl Router for Baseline {
    fn handle(
        &mut self,
        now_us: u64,
        input: Input,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Arrive(request) => self.handle_arrival(now_us, request, view, out),
            Input::Report {
                request,
                attempt,
                report,
            } => {
                let current = self.calls.get(&request).map(|call| call.attempt);
                if current == Some(attempt) {
                    self.handle_report(now_us, request, &report, view, out);
                }
            }
            Input::Load(report) => {
                let engine: usize = report.server[6..]
                    .parse()
                    .expect("the name ends in a number");
                self.loads[engine].reported = report.queued_tokens;
            }
            Input::Members(members) => {
                self.members = members
                    .iter()
                    .filter_map(|m| m.name.strip_prefix("engine")?.parse().ok())
                    .collect();
            }
            Input::Config(_) if matches!(self.rule, Rule::LeastLoaded) => {
                out.push(Output::Watch((0..self.loads.len()).collect()));
            }
            Input::Tick => self.refuse_expired(now_us, view, out),
            Input::Cache(_) | Input::Config(_) | Input::Peer { .. } | Input::Store { .. } => {}
        }
    }

    fn next_deadline_us(&self) -> Option<u64> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}

/// A way to serve a request, with its cost in microseconds.
struct Candidate {
    cost_us: f64,
    engine: usize,
    fetch_from: Option<usize>,
}

/// Returns the choice of lowest cost among the given engines, with and without a fetch.
fn oracle(
    now_us: u64,
    request: usize,
    candidate_engines: &[usize],
    view: &SimulationView<'_>,
) -> Option<(usize, Option<(usize, u64)>)> {
    let req = &view.requests[request];
    let keys = block_keys(req);
    let cached_blocks: Vec<usize> = candidate_engines
        .iter()
        .map(|i| view.engines[*i].cache.cached_prefix(&keys))
        .collect();
    let most_cached_blocks = cached_blocks.iter().copied().max().unwrap_or(0);
    let mut candidates = Vec::new();
    for engine in candidate_engines.iter().copied() {
        let target = &view.engines[engine];
        let own = target.future_prefix(&keys);
        candidates.push(candidate(
            now_us,
            request,
            engine,
            own,
            most_cached_blocks,
            view,
        ));
        let holder =
            candidate_engines
                .iter()
                .zip(&cached_blocks)
                .max_by_key(|(i, cached_blocks)| {
                    let is_same_region =
                        view.setup.engine_region(**i) == view.setup.engine_region(engine);
                    (**cached_blocks, is_same_region)
                });
        if let Some((holder, cached_blocks)) =
            holder.filter(|(i, cached_blocks)| **i != engine && **cached_blocks > own)
        {
            candidates.push(fetch_candidate(
                now_us,
                request,
                engine,
                own,
                *holder,
                *cached_blocks,
                view,
            ));
        }
    }
    let best = candidates
        .into_iter()
        .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?;
    let fetch_from = best
        .fetch_from
        .map(|holder| (holder, view.engines[holder].incarnation));
    Some((best.engine, fetch_from))
}

/// Returns the candidate without a fetch for an engine that has `cached` of the request's blocks.
fn candidate(
    now_us: u64,
    request: usize,
    engine: usize,
    cached: usize,
    most_cached_blocks: usize,
    view: &SimulationView<'_>,
) -> Candidate {
    let req = &view.requests[request];
    let setup = view.setup;
    let from = setup.router_region(req.router);
    let to = setup.engine_region(engine);
    let tokens = req.prompt_tokens - cached as u64 * BLOCK_TOKENS;
    let wasted = most_cached_blocks.saturating_sub(cached) as u64 * BLOCK_TOKENS;
    let mut cost_us = view.engines[engine].wait_us(now_us, req.kind.rank) as f64;
    cost_us += tokens as f64 * setup.prefill_us_per_token;
    cost_us += wasted as f64 * setup.recompute_ms_per_1000_tokens;
    cost_us += copy_price_us(wasted, setup);
    cost_us += 2.0 * setup.latency_us(from, to) as f64;
    if from != to {
        let bytes = req.prompt_tokens * policy::BYTES_PER_TOKEN;
        cost_us += traffic_price_us(bytes, setup.cross_region_ms_per_mb);
    }
    Candidate {
        cost_us,
        engine,
        fetch_from: None,
    }
}

/// Returns the candidate for an engine that fetches blocks from `holder` first.
fn fetch_candidate(
    now_us: u64,
    request: usize,
    engine: usize,
    own: usize,
    holder: usize,
    cached_blocks: usize,
    view: &SimulationView<'_>,
) -> Candidate {
    let setup = view.setup;
    let source: &Engine = &view.engines[holder];
    let bytes = (cached_blocks - own) as u64 * BLOCK_TOKENS * setup.kv_bytes_per_token;
    let is_same_region = setup.engine_region(engine) == setup.engine_region(holder);
    let (speed, price) = match is_same_region {
        true => (setup.region_bytes_per_us, 0.0),
        false => (
            setup.cross_region_bytes_per_us,
            traffic_price_us(bytes, setup.cross_region_ms_per_mb),
        ),
    };
    let link_wait = source.link_free_us.saturating_sub(now_us) as f64;
    let fetch_us = link_wait + bytes as f64 / speed;
    let base = candidate(now_us, request, engine, cached_blocks, cached_blocks, view);
    let wait_us = view.engines[engine].wait_us(now_us, view.requests[request].kind.rank) as f64;
    let copies = copy_price_us((cached_blocks - own) as u64 * BLOCK_TOKENS, setup);
    Candidate {
        cost_us: base.cost_us + (fetch_us - wait_us).max(0.0) + price + copies,
        engine,
        fetch_from: Some(holder),
    }
}

/// Returns the cost of caching these tokens on one more engine, which evicts other blocks.
fn copy_price_us(tokens: u64, setup: &Setup) -> f64 {
    tokens as f64 * setup.prefill_us_per_token * COPY_PRICE
}

/// Returns the cost of traffic between regions, in microseconds.
fn traffic_price_us(bytes: u64, ms_per_mb: f64) -> f64 {
    bytes as f64 / 1e6 * ms_per_mb * 1_000.0
}

/// Returns the rendezvous weight of an engine for a family of prefixes.
fn rendezvous_weight(family: u64, engine: u64) -> u64 {
    xxh3_64_with_seed(&engine.to_le_bytes(), family)
}
