//! Choice of the engine for a request among the engines of a cell.

use std::collections::HashMap;

use config::Weights;

use crate::cost::Estimate;
use crate::cost::Holder;
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

/// Engines, in the order of affinity, among which load decides without cells.
const AFFINITY_WIDTH: usize = 3;

/// Cost of each place in the order of affinity, which decides between equals, in microseconds.
const AFFINITY_STEP_US: f64 = 10_000.0;

/// Cost of an engine that could not be reached lately, in microseconds.
const SUSPECT_US: f64 = 1e9;

/// What is known of a request when its engine is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Ask {
    pub(crate) workspace: NameKey,
    pub(crate) model: NameKey,
    pub(crate) weights_version: u64,
    pub(crate) pieces: Vec<BlockKey>,
    pub(crate) prompt_tokens: u64,
    pub(crate) weights: Weights,
    pub(crate) prefill_us_per_token: f64,
    pub(crate) kv_bytes_per_token: u64,
    pub(crate) rank: u8,
    pub(crate) fingerprint: u64,
}

impl Ask {
    /// Returns what the request has in common with others that share its first piece.
    pub(crate) fn family(&self) -> u64 {
        self.pieces
            .first()
            .map_or(self.fingerprint, |piece| piece.0)
    }
}

/// The engine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) server: ServerKey,
    pub(crate) expected_cached_tokens: u64,
    pub(crate) fetch_from: Option<ServerKey>,
    /// Time that the fetch takes on the link, in microseconds.
    pub(crate) transfer_us: u64,
    /// Time at which the engine is expected to begin with the prompt.
    pub(crate) begins_at: Time,
    /// Time at which the first token is expected.
    pub(crate) first_token_at: Time,
}

/// A way to serve a request at one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bid {
    pub(crate) server: ServerKey,
    pub(crate) held: usize,
    pub(crate) fetch_from: Option<ServerKey>,
    pub(crate) estimate: Estimate,
    /// The estimate's cost, and what affinity and trust in the engine add to it.
    pub(crate) cost_us: f64,
}

/// What is known of engines' loads and caches.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    loads: HashMap<ServerKey, LoadView>,
    residency: HashMap<u64, Residency>,
    idle: LoadView,
}

impl Placement {
    /// Takes a load report of `queued_us` of work in.
    pub(crate) fn on_load(&mut self, server: ServerKey, at: Time, queued_us: u64) {
        let load = self.loads.entry(server).or_default();
        load.on_report(at, queued_us);
    }

    /// Forgets what was known of a server's cache and load.
    pub(crate) fn on_reset(&mut self, cell: Option<u64>, server: ServerKey) {
        self.loads.remove(&server);
        let residency = cell.and_then(|cell| self.residency.get_mut(&cell));
        if let Some(residency) = residency {
            residency.reset(server);
        }
    }

    /// Begins to remember what the engines of a cell hold.
    pub(crate) fn own(&mut self, cell: u64) {
        self.residency.entry(cell).or_default();
    }

    /// Forgets what the engines of a cell hold.
    pub(crate) fn disown(&mut self, cell: u64) {
        self.residency.remove(&cell);
    }

    /// Returns what the engines of an owned cell hold.
    pub(crate) fn residency_mut(&mut self, cell: u64) -> Option<&mut Residency> {
        self.residency.get_mut(&cell)
    }

    /// Returns the wait at an engine, in microseconds.
    pub(crate) fn wait_us(&self, now: Time, server: ServerKey) -> u64 {
        self.loads.get(&server).map_or(0, |load| load.wait_us(now))
    }

    /// Takes in that a request is sent where `choice` says.
    pub(crate) fn on_sent(&mut self, now: Time, cell: u64, ask: &Ask, choice: &Choice) {
        let held = (choice.expected_cached_tokens / BLOCK_TOKENS) as usize;
        let load = self.loads.entry(choice.server).or_default();
        load.on_sent(now, ask.work_us(held));
        if let Some(holder) = choice.fetch_from {
            let load = self.loads.entry(holder).or_default();
            load.on_export(now, choice.transfer_us);
        }
        if let Some(residency) = self.residency.get_mut(&cell) {
            for piece in &ask.pieces {
                residency.store(choice.server, *piece);
            }
        }
    }

    /// Takes in that an engine found fewer tokens in its cache than expected.
    pub(crate) fn on_missed(&mut self, now: Time, server: ServerKey, missed_us: u64) {
        let load = self.loads.entry(server).or_default();
        load.on_more_work(now, missed_us);
    }

    /// Chooses the engine that the owner of a cell chose for others like this one.
    pub(crate) fn choose_known(&self, now: Time, ask: &Ask, server: ServerKey) -> Choice {
        let begins_at = now.plus_micros(self.wait_us(now, server));
        Choice {
            server,
            expected_cached_tokens: 0,
            fetch_from: None,
            transfer_us: 0,
            begins_at,
            first_token_at: begins_at.plus_micros(ask.work_us(0)),
        }
    }

    /// Chooses among the `candidates` of a cell.
    pub(crate) fn choose(
        &self,
        now: Time,
        settings: &Settings,
        ask: &Ask,
        (cell, candidates): (u64, &[ServerKey]),
        fleet: &Fleet,
    ) -> Option<Choice> {
        let bids = self.bids(now, settings, ask, (cell, candidates), fleet);
        let best = bids
            .into_iter()
            .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?;
        Some(best.choice(now))
    }

    /// Returns all ways to serve a request at the `candidates` of a cell.
    pub(crate) fn bids(
        &self,
        now: Time,
        settings: &Settings,
        ask: &Ask,
        (cell, candidates): (u64, &[ServerKey]),
        fleet: &Fleet,
    ) -> Vec<Bid> {
        let held = match self.residency.get(&cell) {
            Some(residency) => residency.prefixes(candidates, &ask.pieces),
            None => vec![0; candidates.len()],
        };
        let holders: Vec<(ServerKey, usize)> = candidates.iter().copied().zip(held).collect();
        let mut order = holders.clone();
        order.sort_unstable_by_key(|(key, _)| {
            let server = fleet.server(*key);
            let weight = rendezvous::weight(ask.family(), server.name_hash);
            (server.suspect_until > now, !weight, *key)
        });
        if settings.placement == PlacementKind::Affinity {
            order.truncate(AFFINITY_WIDTH);
        }
        order
            .iter()
            .enumerate()
            .flat_map(|(place, candidate)| {
                self.bids_of(now, settings, ask, *candidate, &holders)
                    .map(move |bid| (place, bid))
            })
            .map(|(place, bid)| {
                let suspect = fleet.server(bid.server).suspect_until > now;
                let penalty_us = if suspect { SUSPECT_US } else { 0.0 };
                Bid {
                    cost_us: bid.cost_us + place as f64 * AFFINITY_STEP_US + penalty_us,
                    ..bid
                }
            })
            .collect()
    }

    /// Returns the ways to serve a request at one engine.
    fn bids_of(
        &self,
        now: Time,
        settings: &Settings,
        ask: &Ask,
        (server, held): (ServerKey, usize),
        holders: &[(ServerKey, usize)],
    ) -> impl Iterator<Item = Bid> {
        let load = self.load(server);
        let best = holders.iter().map(|(_, held)| *held).max().unwrap_or(0);
        let estimate = ask.recompute(now, settings, load, held, best);
        let recompute = Bid {
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
                let from = Holder {
                    held: best,
                    load: self.load(*holder),
                };
                let estimate = ask.fetch(now, settings, load, held, from);
                Bid {
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

impl Bid {
    /// Returns the choice that takes this way.
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
