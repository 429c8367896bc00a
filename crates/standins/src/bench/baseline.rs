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

use crate::bench::oracle::oracle;
use crate::bench::router::Dispatch;
use crate::bench::router::Input;
use crate::bench::router::Output;
use crate::bench::router::Router;
use crate::bench::router::SimulationView;

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 5;

/// Number of engines that `least_loaded` samples.
const SAMPLED_ENGINES: usize = 8;

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

/// Returns the rendezvous weight of an engine for a family of prefixes.
fn rendezvous_weight(family: u64, engine: u64) -> u64 {
    xxh3_64_with_seed(&engine.to_le_bytes(), family)
}
