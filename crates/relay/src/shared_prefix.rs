//! Scores engines for the shared prefix of a prompt, its large shared part.
//!
//! An engine that used the prefix recently caches it. Any other engine fetches it from
//! a prefix store that keeps it or prefills it again, which adds to the engine's cost.

use crate::affinity::PlacementState;
use crate::placement::Choice;
use crate::placement::PartSource;
use crate::prefill::prefill_ms;
use crate::rendezvous;
use crate::rendezvous::RendezvousRanking;
use crate::residency::Holder;
use crate::residency::PartKey;
use crate::BackendServer;
use crate::PrefixStore;
use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;

/// Cost of caching a part on a second engine, in milliseconds, in addition to the time
/// to prefill it: the copy evicts other parts.
const SECOND_COPY_COST_MS: f64 = 400.0;

/// Time since its last use for which an engine is expected to cache a part, in
/// milliseconds. Under heavy load a cache's content is replaced in about that time.
const RESIDENT_MS: u64 = 5_000;

/// Cost of fetching a part from a prefix store in addition to the transfer, in milliseconds.
const FETCH_COST_MS: f64 = 40.0;

/// Wait for a prefix store's link from which nothing is fetched, in milliseconds. After
/// two seconds an engine prefills the part itself.
const MAX_FETCH_WAIT_MS: u64 = 1_000;

/// Wait for a prefix store's link up to which a recently used part is saved, in milliseconds.
const MAX_REPEATED_SAVE_WAIT_MS: u64 = 400;

/// Wait for a prefix store's link up to which a new part is saved, in milliseconds.
const MAX_FIRST_SAVE_WAIT_MS: u64 = 150;

/// Cost of caching a part on a second engine by fetching it, in milliseconds.
const FETCHED_COPY_COST_MS: f64 = 200.0;

/// Cost of each rank below the first for an engine that fetches the part, in
/// milliseconds.
const FETCHED_RANK_COST_MS: f64 = 20.0;

/// Cost of prefilling a part that a prefix store elsewhere keeps, in milliseconds, in
/// addition to the time to prefill it.
const STORED_ELSEWHERE_COST_MS: f64 = 400.0;

/// Cost of prefilling a recently used part on an engine without a prefix store nearby
/// that could keep it, in milliseconds, in addition to the time to prefill it.
const NOT_STORED_COST_MS: f64 = 300.0;

/// Cost of each rank below the first for an engine that prefills the part, in milliseconds.
const RANK_COST_MS: f64 = 200.0;

/// Time without a response from which an engine recorded for a part isn't used as its
/// source, in milliseconds.
const SOURCE_UNRESPONSIVE_MS: u64 = 300;

/// The shared prefix of a prompt, and where it is expected to be cached.
#[derive(Debug)]
pub(crate) struct SharedPrefix<'a> {
    state: PlacementState<'a>,
    /// Key of the prefix.
    part: PartKey,
    /// Ranking of the ready engines for the prefix.
    ranking: RendezvousRanking,
    /// Length of the prefix, in tokens.
    prefix_tokens: u64,
    /// Length of the whole prompt, in tokens.
    prompt_tokens: u64,
    /// Engines recorded for the prefix, least recently used first.
    holders: &'a [Holder],
    /// Those of `holders` that are expected to cache it still.
    resident: Vec<Holder>,
}

impl<'a> SharedPrefix<'a> {
    /// Looks up where a prefix of `tokens` in a prompt of `prompt_tokens` is cached.
    pub(crate) fn new(
        state: PlacementState<'a>,
        part: PartKey,
        tokens: u32,
        prompt_tokens: u64,
    ) -> SharedPrefix<'a> {
        let holders = state.residency.holders(part);
        let is_resident = |holder: &Holder| state.now.millis_since(holder.used_at) < RESIDENT_MS;
        SharedPrefix {
            state,
            part,
            ranking: RendezvousRanking::new(part, state.ready),
            prefix_tokens: u64::from(tokens),
            prompt_tokens,
            holders,
            resident: holders.iter().copied().filter(is_resident).collect(),
        }
    }

    /// Sets the prefill time of a candidate and adds its cache-related costs.
    pub(crate) fn estimate(&self, server: &BackendServer, choice: &mut Choice) {
        let (store, fetchable) = self.near_and_fetchable_store(server);
        choice.caches_prefix = self.resident.iter().any(|h| h.server == choice.server);
        if choice.caches_prefix || fetchable.is_some() {
            choice.prefill_ms =
                prefill_ms(self.prefix_tokens, self.prompt_tokens - self.prefix_tokens);
        }
        if !choice.caches_prefix {
            choice.cost_ms += match fetchable {
                Some(fetchable) => self.fetch_cost_ms(server, fetchable),
                None => self.miss_cost_ms(server, store),
            };
        }
    }

    /// Sets where the chosen engine gets the prefix from and whether it saves it.
    pub(crate) fn plan_transfer(&self, choice: &mut Choice) {
        let Some(server) = self.state.fleet.get(choice.server) else {
            return;
        };
        let (store, fetchable) = self.near_and_fetchable_store(server);
        choice.shared_prefix = Some(self.part);
        choice.fetch_from = match fetchable {
            Some(fetchable) => Some(PartSource::Store(fetchable.address)),
            None => self.engine_source(choice.server, server),
        };
        choice.transfer = match fetchable {
            Some(fetchable) if !choice.caches_prefix => Some(self.fetch(server, fetchable)),
            Some(_) => None,
            None => store.and_then(|store| self.save(server, store)),
        };
    }

    /// Returns the prefix store near an engine, and the same store if the prefix can be
    /// fetched from it.
    fn near_and_fetchable_store(
        &self,
        server: &BackendServer,
    ) -> (Option<&'a PrefixStore>, Option<&'a PrefixStore>) {
        let store = self.state.stores.near(&server.registration.domain);
        (store, store.filter(|store| self.is_fetchable(store)))
    }

    /// Returns whether a prefix store keeps the prefix and can send it soon.
    fn is_fetchable(&self, store: &PrefixStore) -> bool {
        let PlacementState { residency, now, .. } = self.state;
        let is_link_free_soon = residency.link_wait_ms(now, store.address) < MAX_FETCH_WAIT_MS;
        is_link_free_soon && residency.is_saved(now, self.part, store.address)
    }

    fn fetch(&self, server: &BackendServer, store: &PrefixStore) -> Transfer {
        let stores = &self.state.stores;
        stores.transfer(TransferKind::Fetch, server, store, self.prefix_tokens)
    }

    /// Returns the transfer that saves the prompt with its prefix, or `None` if the wait for the
    /// link is too long. A recently used prefix may wait longer than a new one, as fetches need the
    /// link too.
    fn save(&self, server: &BackendServer, store: &PrefixStore) -> Option<Transfer> {
        let PlacementState { residency, now, .. } = self.state;
        let limit_ms = if self.holders.is_empty() {
            MAX_FIRST_SAVE_WAIT_MS
        } else {
            MAX_REPEATED_SAVE_WAIT_MS
        };
        if residency.link_wait_ms(now, store.address) > limit_ms {
            return None;
        }
        let stores = &self.state.stores;
        Some(stores.transfer(TransferKind::Save, server, store, self.prompt_tokens))
    }

    /// Returns the cost of fetching the prefix from a prefix store, in milliseconds.
    fn fetch_cost_ms(&self, server: &BackendServer, store: &PrefixStore) -> f64 {
        let PlacementState { residency, now, .. } = self.state;
        let wait_ms = residency.link_wait_ms(now, store.address) as f64;
        let link_ms = f64::from(self.fetch(server, store).link_ms);
        let copy_cost_ms = if self.resident.is_empty() {
            0.0
        } else {
            FETCHED_COPY_COST_MS
        };
        let rank = self.ranking.rank(server) as f64;
        FETCH_COST_MS + wait_ms + link_ms + copy_cost_ms + rank * FETCHED_RANK_COST_MS
    }

    /// Returns the cost of prefilling the prefix in addition to the time it takes, in milliseconds.
    fn miss_cost_ms(&self, server: &BackendServer, store: Option<&PrefixStore>) -> f64 {
        if !self.resident.is_empty() {
            return SECOND_COPY_COST_MS;
        }
        let PlacementState { residency, now, .. } = self.state;
        let mut miss_cost_ms = self.ranking.rank(server) as f64 * RANK_COST_MS;
        if residency.is_saved_anywhere(now, self.part) {
            miss_cost_ms += STORED_ELSEWHERE_COST_MS;
        }
        if !self.holders.is_empty() && store.is_none() {
            miss_cost_ms += NOT_STORED_COST_MS;
        }
        miss_cost_ms
    }

    /// Returns an engine from which `server` may copy the prefix.
    fn engine_source(&self, key: ServerKey, server: &BackendServer) -> Option<PartSource> {
        let holder = self.holder_elsewhere(&self.resident, key);
        let holder = holder.or_else(|| self.holder_elsewhere(self.holders, key));
        let engine = holder.or_else(|| self.next_ranked_engine(key, server));
        engine.map(PartSource::Engine)
    }

    /// Returns the most recent responsive engine of `holders` other than `except`.
    fn holder_elsewhere(&self, holders: &[Holder], except: ServerKey) -> Option<ServerKey> {
        let others = holders.iter().rev().map(|holder| holder.server);
        others
            .filter(|key| *key != except)
            .find(|key| self.is_responsive(*key))
    }

    /// Returns the engine other than `except` that most likely caches the prefix if no
    /// responsive one is recorded: the first by rendezvous hashing with the same weights and build.
    fn next_ranked_engine(&self, except: ServerKey, server: &BackendServer) -> Option<ServerKey> {
        let weights = &server.registration.weights;
        let others = self.state.ready.iter();
        let others = others.filter(|(key, other)| {
            let is_same_version =
                &other.registration.weights == weights && other.build == server.build;
            *key != except && is_same_version
        });
        others
            .max_by_key(|(_, other)| rendezvous::engine_weight(self.part, other))
            .map(|(key, _)| *key)
    }

    fn is_responsive(&self, key: ServerKey) -> bool {
        let server = self.state.fleet.get(key);
        server.is_some_and(|server| server.unresponsive_ms(self.state.now) < SOURCE_UNRESPONSIVE_MS)
    }
}
