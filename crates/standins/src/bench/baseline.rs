//! Policies to compare with: none of them learns what engines hold, but the oracle sees it.

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
use crate::bench::router::Input;
use crate::bench::router::Router;
use crate::bench::router::Send;
use crate::bench::router::Sight;
use crate::bench::router::Step;
use crate::bench::setup::Setup;
use crate::bench::world::piece_keys;

/// Attempts of a request at most.
const ATTEMPTS: u32 = 5;

/// Engines that `least_loaded` draws to compare.
const DRAWN: usize = 8;

/// Price of a copy of held tokens, as a part of the time to compute them.
///
/// Without it a greedy choice fills the caches with copies and collapses under load.
const COPY_PRICE: f64 = 1.0;

/// A way to choose an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any engine.
    Random,
    /// The least loaded of some that are drawn.
    LeastLoaded,
    /// The first by rendezvous hashing of the first piece.
    Rendezvous,
    /// The cheapest, with every cache and queue in sight.
    Oracle,
}

/// A router that chooses by a [`Rule`].
pub struct Baseline {
    rule: Rule,
    rng: ChaCha8Rng,
    calls: BTreeMap<usize, Call>,
    deadlines: BTreeSet<(u64, usize)>,
    loads: Vec<Load>,
    members: BTreeSet<usize>,
}

#[derive(Default)]
struct Call {
    attempt: u32,
    engine: usize,
    started: bool,
    failed_at: BTreeSet<usize>,
    deadline_us: u64,
}

#[derive(Clone, Copy, Default)]
struct Load {
    reported: u64,
    own: u64,
}

impl Baseline {
    /// Creates a router.
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

    fn arrive(&mut self, now_us: u64, request: usize, sight: &Sight<'_>, out: &mut Vec<Step>) {
        let deadline_us = now_us + sight.requests[request].kind.deadline_ms * 1_000;
        self.deadlines.insert((deadline_us, request));
        let call = Call {
            deadline_us,
            ..Call::default()
        };
        self.calls.insert(request, call);
        self.send(now_us, request, sight, out);
    }

    fn send(&mut self, now_us: u64, request: usize, sight: &Sight<'_>, out: &mut Vec<Step>) {
        let failed_at = self.calls[&request].failed_at.clone();
        let candidates: Vec<usize> = match self.rule {
            Rule::Oracle => (0..sight.engines.len())
                .filter(|i| sight.engines[*i].up)
                .collect(),
            _ => self.members.difference(&failed_at).copied().collect(),
        };
        let choice = self.choose(now_us, request, &candidates, sight);
        let spent = self.calls[&request].attempt >= ATTEMPTS;
        let Some((engine, fetch_from)) = choice.filter(|_| !spent) else {
            self.end(request);
            let reason = match spent {
                true => "attempts_failed",
                false => "no_backend_server",
            };
            out.push(Step::Refuse { request, reason });
            return;
        };
        let call = self.calls.get_mut(&request).expect("it is in progress");
        call.attempt += 1;
        call.engine = engine;
        self.loads[engine].own += sight.requests[request].prompt_tokens;
        out.push(Step::Send(Send {
            request,
            attempt: call.attempt,
            engine,
            incarnation: 0,
            fetch_from,
        }));
    }

    fn choose(
        &mut self,
        now_us: u64,
        request: usize,
        candidates: &[usize],
        sight: &Sight<'_>,
    ) -> Option<(usize, Option<(usize, u64)>)> {
        if candidates.is_empty() {
            return None;
        }
        let alone = |engine: usize| (engine, None);
        match self.rule {
            Rule::Random => Some(alone(
                candidates[self.rng.random_range(0..candidates.len())],
            )),
            Rule::LeastLoaded => (0..DRAWN)
                .map(|_| candidates[self.rng.random_range(0..candidates.len())])
                .min_by_key(|i| self.loads[*i].reported + self.loads[*i].own)
                .map(alone),
            Rule::Rendezvous => {
                let family = sight.requests[request].blocks[0].0;
                candidates
                    .iter()
                    .copied()
                    .max_by_key(|i| mix(family, *i as u64))
                    .map(alone)
            }
            Rule::Oracle => oracle(now_us, request, candidates, sight),
        }
    }

    fn report(
        &mut self,
        now_us: u64,
        request: usize,
        report: &BackendReport,
        sight: &Sight<'_>,
        out: &mut Vec<Step>,
    ) {
        match report {
            BackendReport::FirstToken => {
                self.leave_queue(request, sight);
                self.calls
                    .get_mut(&request)
                    .expect("it is in progress")
                    .started = true;
            }
            BackendReport::Finished { .. } => self.end(request),
            BackendReport::Failed { failure, .. } => {
                self.leave_queue(request, sight);
                let call = self.calls.get_mut(&request).expect("it is in progress");
                if *failure != Failure::StaleIncarnation {
                    call.failed_at.insert(call.engine);
                }
                self.send(now_us, request, sight, out);
            }
            BackendReport::Started { .. } | BackendReport::Responded(_) => {}
        }
    }

    fn leave_queue(&mut self, request: usize, sight: &Sight<'_>) {
        let call = &self.calls[&request];
        if !call.started {
            let own = &mut self.loads[call.engine].own;
            *own = own.saturating_sub(sight.requests[request].prompt_tokens);
        }
    }

    fn end(&mut self, request: usize) {
        if let Some(call) = self.calls.remove(&request) {
            self.deadlines.remove(&(call.deadline_us, request));
        }
    }

    fn tick(&mut self, now_us: u64, sight: &Sight<'_>, out: &mut Vec<Step>) {
        while let Some((_, request)) = self.deadlines.first().copied().filter(|d| d.0 <= now_us) {
            self.deadlines.pop_first();
            let call = &self.calls[&request];
            if call.started {
                continue;
            }
            out.push(Step::Cancel {
                request,
                attempt: call.attempt,
                engine: call.engine,
            });
            let reason = "deadline_passed";
            out.push(Step::Refuse { request, reason });
            self.leave_queue(request, sight);
            self.end(request);
        }
    }
}

impl Router for Baseline {
    fn handle(&mut self, now_us: u64, input: Input, sight: &Sight<'_>, out: &mut Vec<Step>) {
        match input {
            Input::Arrive(request) => self.arrive(now_us, request, sight, out),
            Input::Report {
                request,
                attempt,
                report,
            } => {
                let current = self.calls.get(&request).map(|call| call.attempt);
                if current == Some(attempt) {
                    self.report(now_us, request, &report, sight, out);
                }
            }
            Input::Load(report) => {
                let engine: usize = report.server[6..].parse().expect("names end in a number");
                self.loads[engine].reported = report.queued_tokens;
            }
            Input::Members(members) => {
                self.members = members
                    .iter()
                    .filter_map(|m| m.name.strip_prefix("engine")?.parse().ok())
                    .collect();
            }
            Input::Config(_) if matches!(self.rule, Rule::LeastLoaded) => {
                out.push(Step::Watch((0..self.loads.len()).collect()));
            }
            Input::Tick => self.tick(now_us, sight, out),
            Input::Cache(_) | Input::Config(_) | Input::Peer { .. } | Input::Store { .. } => {}
        }
    }

    fn next_deadline_us(&self) -> Option<u64> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}

/// A way to serve a request, with its cost.
struct Bid {
    cost_us: f64,
    engine: usize,
    fetch_from: Option<usize>,
}

fn oracle(
    now_us: u64,
    request: usize,
    candidates: &[usize],
    sight: &Sight<'_>,
) -> Option<(usize, Option<(usize, u64)>)> {
    let req = &sight.requests[request];
    let keys = piece_keys(req);
    let held: Vec<usize> = candidates
        .iter()
        .map(|i| sight.engines[*i].cache.prefix(&keys))
        .collect();
    let best_held = held.iter().copied().max().unwrap_or(0);
    let mut bids = Vec::new();
    for engine in candidates.iter().copied() {
        let target = &sight.engines[engine];
        let own = target.coming_prefix(&keys);
        bids.push(bid(now_us, request, engine, own, best_held, sight));
        let holder = candidates.iter().zip(&held).max_by_key(|(i, held)| {
            let same = sight.setup.engine_region(**i) == sight.setup.engine_region(engine);
            (**held, same)
        });
        if let Some((holder, held)) = holder.filter(|(i, held)| **i != engine && **held > own) {
            bids.push(fetch_bid(
                now_us, request, engine, own, *holder, *held, sight,
            ));
        }
    }
    let best = bids
        .into_iter()
        .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?;
    let fetch_from = best
        .fetch_from
        .map(|holder| (holder, sight.engines[holder].incarnation));
    Some((best.engine, fetch_from))
}

fn bid(
    now_us: u64,
    request: usize,
    engine: usize,
    cached: usize,
    best_held: usize,
    sight: &Sight<'_>,
) -> Bid {
    let req = &sight.requests[request];
    let setup = sight.setup;
    let from = setup.router_region(req.router);
    let to = setup.engine_region(engine);
    let tokens = req.prompt_tokens - cached as u64 * BLOCK_TOKENS;
    let wasted = best_held.saturating_sub(cached) as u64 * BLOCK_TOKENS;
    let mut cost_us = sight.engines[engine].wait_us(now_us, req.kind.rank) as f64;
    cost_us += tokens as f64 * setup.prefill_us_per_token;
    cost_us += wasted as f64 * setup.recompute_ms_per_1000_tokens;
    cost_us += copy_price_us(wasted, setup);
    cost_us += 2.0 * setup.latency_us(from, to) as f64;
    if from != to {
        let bytes = req.prompt_tokens * policy::BYTES_PER_TOKEN;
        cost_us += price_us(bytes, setup.cross_region_ms_per_mb);
    }
    Bid {
        cost_us,
        engine,
        fetch_from: None,
    }
}

fn fetch_bid(
    now_us: u64,
    request: usize,
    engine: usize,
    own: usize,
    holder: usize,
    held: usize,
    sight: &Sight<'_>,
) -> Bid {
    let setup = sight.setup;
    let source: &Engine = &sight.engines[holder];
    let bytes = (held - own) as u64 * BLOCK_TOKENS * setup.kv_bytes_per_token;
    let same = setup.engine_region(engine) == setup.engine_region(holder);
    let (speed, price) = match same {
        true => (setup.region_bytes_per_us, 0.0),
        false => (
            setup.cross_region_bytes_per_us,
            price_us(bytes, setup.cross_region_ms_per_mb),
        ),
    };
    let link_wait = source.link_free_us.saturating_sub(now_us) as f64;
    let fetch_us = link_wait + bytes as f64 / speed;
    let base = bid(now_us, request, engine, held, held, sight);
    let wait_us = sight.engines[engine].wait_us(now_us, sight.requests[request].kind.rank) as f64;
    let copies = copy_price_us((held - own) as u64 * BLOCK_TOKENS, setup);
    Bid {
        cost_us: base.cost_us + (fetch_us - wait_us).max(0.0) + price + copies,
        engine,
        fetch_from: Some(holder),
    }
}

/// Returns the price of holding tokens at one more engine, which evicts others.
fn copy_price_us(tokens: u64, setup: &Setup) -> f64 {
    tokens as f64 * setup.prefill_us_per_token * COPY_PRICE
}

fn price_us(bytes: u64, ms_per_mb: f64) -> f64 {
    bytes as f64 / 1e6 * ms_per_mb * 1_000.0
}

/// Returns the rendezvous weight of an engine for a family.
fn mix(family: u64, engine: u64) -> u64 {
    xxh3_64_with_seed(&engine.to_le_bytes(), family)
}
