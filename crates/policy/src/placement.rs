//! Choice of an engine for a request among the engines of a cell.

use std::collections::HashMap;

use config::CostWeights;

use crate::cost::CacheHolder;
use crate::cost::Estimate;
use crate::fleet::Fleet;
use crate::interner::NameKey;
use crate::load_view::LoadView;
use crate::rendezvous;
use crate::residency::Residency;
use crate::BlockKey;
use crate::PlacementKind;
use crate::ServerKey;
use crate::Settings;
use crate::Time;
use crate::BLOCK_TOKENS;

/// Number of engines, in the order of affinity, among which load decides with
/// [`PlacementKind::Affinity`].
const AFFINITY_CANDIDATES: usize = 3;

/// Cost of each rank in the order of affinity, which breaks ties, in microseconds.
const AFFINITY_STEP_US: f64 = 10_000.0;

/// Cost added for a suspect engine, in microseconds; see [`Fleet::mark_suspect`].
const SUSPECT_PENALTY_US: f64 = 1e9;

/// What is known about a request when its engine is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlacementRequest {
    pub(crate) workspace: NameKey,
    pub(crate) model: NameKey,
    pub(crate) weights_version: u64,
    pub(crate) blocks: Vec<BlockKey>,
    pub(crate) prompt_tokens: u64,
    /// Weights of the cost terms for the workspace.
    pub(crate) weights: CostWeights,
    /// Prefill time of a prompt token, in microseconds.
    pub(crate) prefill_us_per_token: f64,
    /// Size of the KV cache of a token, in bytes.
    pub(crate) kv_bytes_per_token: u64,
    pub(crate) rank: u8,
    pub(crate) fingerprint: u64,
}

impl PlacementRequest {
    /// Returns the prompt family: the key of the first block, so that prompts
    /// with a common beginning share it, or the fingerprint if there is no
    /// whole block.
    pub(crate) fn family(&self) -> u64 {
        self.blocks
            .first()
            .map_or(self.fingerprint, |block| block.0)
    }
}

/// The engine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) server: ServerKey,
    /// Prompt tokens expected to be in the cache, or fetched into it.
    pub(crate) expected_cached_tokens: u64,
    /// Engine from which the blocks that are not cached are fetched.
    pub(crate) fetch_from: Option<ServerKey>,
    /// Time that the fetch takes on the link, in microseconds.
    pub(crate) transfer_us: u64,
    /// Time at which the engine is expected to begin with the prompt.
    pub(crate) begins_at: Time,
    /// Time at which the first token is expected.
    pub(crate) first_token_at: Time,
}

/// A way to serve a request: an engine, and another one to fetch blocks from if there is one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ServerKey,
    /// Number of leading blocks that are cached, or fetched.
    pub(crate) held: usize,
    /// Engine from which blocks are fetched; none if they are computed.
    pub(crate) fetch_from: Option<ServerKey>,
    pub(crate) estimate: Estimate,
    /// The estimated cost plus what affinity and a suspect engine add to it.
    pub(crate) cost_us: f64,
}

/// Estimated loads of engines, and the cached blocks of owned cells.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    loads: HashMap<ServerKey, LoadView>,
    /// Cached blocks by the id of the cell.
    residency: HashMap<u64, Residency>,
    /// Load assumed for engines without reports.
    idle: LoadView,
}

impl Placement {
    /// Applies a load report with `queued_us` of queued work.
    pub(crate) fn on_load(&mut self, server: ServerKey, at: Time, queued_us: u64) {
        let load = self.loads.entry(server).or_default();
        load.on_report(at, queued_us);
    }

    /// Drops what is known about a server's cache and load.
    pub(crate) fn on_reset(&mut self, cell: Option<u64>, server: ServerKey) {
        self.loads.remove(&server);
        let residency = cell.and_then(|cell| self.residency.get_mut(&cell));
        if let Some(residency) = residency {
            residency.reset(server);
        }
    }

    /// Starts to track the cached blocks of a cell's engines.
    pub(crate) fn start_tracking(&mut self, cell: u64) {
        self.residency.entry(cell).or_default();
    }

    /// Stops tracking the cached blocks of a cell's engines.
    pub(crate) fn stop_tracking(&mut self, cell: u64) {
        self.residency.remove(&cell);
    }

    /// Returns the cached blocks of a tracked cell's engines.
    pub(crate) fn residency_mut(&mut self, cell: u64) -> Option<&mut Residency> {
        self.residency.get_mut(&cell)
    }

    /// Returns the expected wait at an engine, in microseconds.
    pub(crate) fn wait_us(&self, now: Time, server: ServerKey) -> u64 {
        self.loads.get(&server).map_or(0, |load| load.wait_us(now))
    }

    /// Records that a request is sent according to `choice`.
    pub(crate) fn on_sent(
        &mut self,
        now: Time,
        cell: u64,
        request: &PlacementRequest,
        choice: &Choice,
    ) {
        let held = (choice.expected_cached_tokens / BLOCK_TOKENS) as usize;
        let load = self.loads.entry(choice.server).or_default();
        load.on_sent(now, request.work_us(held));
        if let Some(holder) = choice.fetch_from {
            let load = self.loads.entry(holder).or_default();
            load.on_export(now, choice.transfer_us);
        }
        if let Some(residency) = self.residency.get_mut(&cell) {
            for block in &request.blocks {
                residency.store(choice.server, *block);
            }
        }
    }

    /// Records that an engine found fewer tokens in its cache than expected.
    pub(crate) fn on_cache_miss(&mut self, now: Time, server: ServerKey, missed_us: u64) {
        let load = self.loads.entry(server).or_default();
        load.on_extra_work(now, missed_us);
    }

    /// Returns a choice of `server`, assuming that it has nothing cached.
    pub(crate) fn choose_fixed(
        &self,
        now: Time,
        request: &PlacementRequest,
        server: ServerKey,
    ) -> Choice {
        let begins_at = now.plus_micros(self.wait_us(now, server));
        Choice {
            server,
            expected_cached_tokens: 0,
            fetch_from: None,
            transfer_us: 0,
            begins_at,
            first_token_at: begins_at.plus_micros(request.work_us(0)),
        }
    }

    /// Returns the cheapest candidate among the eligible engines of a cell.
    pub(crate) fn choose(
        &self,
        now: Time,
        settings: &Settings,
        request: &PlacementRequest,
        (cell, eligible): (u64, &[ServerKey]),
        fleet: &Fleet,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, settings, request, (cell, eligible), fleet);
        let best = candidates
            .into_iter()
            .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?;
        Some(best.choice(now))
    }

    /// Returns all ways to serve a request on the eligible engines of a cell.
    pub(crate) fn candidates(
        &self,
        now: Time,
        settings: &Settings,
        request: &PlacementRequest,
        (cell, eligible): (u64, &[ServerKey]),
        fleet: &Fleet,
    ) -> Vec<Candidate> {
        let held = match self.residency.get(&cell) {
            Some(residency) => residency.leading_blocks(eligible, &request.blocks),
            None => vec![0; eligible.len()],
        };
        let holders: Vec<(ServerKey, usize)> = eligible.iter().copied().zip(held).collect();
        let mut order = holders.clone();
        order.sort_unstable_by_key(|(key, _)| {
            let server = fleet.server(*key);
            let weight = rendezvous::weight(request.family(), server.name_hash);
            (server.suspect_until > now, !weight, *key)
        });
        if settings.placement == PlacementKind::Affinity {
            order.truncate(AFFINITY_CANDIDATES);
        }
        order
            .iter()
            .enumerate()
            .flat_map(|(position, engine)| {
                self.candidates_at(now, settings, request, *engine, &holders)
                    .map(move |candidate| (position, candidate))
            })
            .map(|(position, candidate)| {
                let suspect = fleet.server(candidate.server).suspect_until > now;
                let penalty_us = if suspect { SUSPECT_PENALTY_US } else { 0.0 };
                Candidate {
                    cost_us: candidate.cost_us + position as f64 * AFFINITY_STEP_US + penalty_us,
                    ..candidate
                }
            })
            .collect()
    }

    /// Returns the ways to serve a request on one engine: computing what it
    /// lacks, and fetching that from the engine that holds the most.
    fn candidates_at(
        &self,
        now: Time,
        settings: &Settings,
        request: &PlacementRequest,
        (server, held): (ServerKey, usize),
        holders: &[(ServerKey, usize)],
    ) -> impl Iterator<Item = Candidate> {
        let load = self.load(server);
        let best = holders.iter().map(|(_, held)| *held).max().unwrap_or(0);
        let estimate = request.estimate_recompute(now, settings, load, held, best);
        let recompute = Candidate {
            server,
            held,
            fetch_from: None,
            estimate,
            cost_us: estimate.cost_us,
        };
        let fetch = holders
            .iter()
            .filter(|_| settings.fetch)
            .filter(|(holder, other)| *holder != server && *other == best && best > held)
            .min_by_key(|(holder, _)| (self.load(*holder).link_wait_us(now), *holder))
            .map(|(holder, _)| {
                let from = CacheHolder {
                    held: best,
                    load: self.load(*holder),
                };
                let estimate = request.estimate_fetch(now, settings, load, held, from);
                Candidate {
                    server,
                    held: best,
                    fetch_from: Some(*holder),
                    estimate,
                    cost_us: estimate.cost_us,
                }
            });
        std::iter::once(recompute).chain(fetch)
    }

    fn load(&self, server: ServerKey) -> &LoadView {
        self.loads.get(&server).unwrap_or(&self.idle)
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        let loads: usize = self.loads.values().map(LoadView::memory_bytes).sum();
        let held: usize = self.residency.values().map(Residency::memory_bytes).sum();
        loads + held
    }
}

impl Candidate {
    /// Returns the choice of this candidate.
    pub(crate) fn choice(self, now: Time) -> Choice {
        let begins_at = now.plus_micros(self.estimate.wait_us);
        Choice {
            server: self.server,
            expected_cached_tokens: self.held as u64 * BLOCK_TOKENS,
            fetch_from: self.fetch_from,
            transfer_us: self.estimate.transfer_us,
            begins_at,
            first_token_at: begins_at.plus_micros(self.estimate.work_us),
        }
    }
}
