//! What the large shared part of a prompt is worth to an engine.
//!
//! The part is held by the engines that used it lately, or kept by a store, or it
//! has to be read: what an engine lacks decides what going there costs.

use crate::affinity::PlacementState;
use crate::holdings::Holder;
use crate::holdings::PartKey;
use crate::homes;
use crate::homes::RendezvousRanking;
use crate::placement::Choice;
use crate::placement::PartSource;
use crate::reading::prefill_ms;
use crate::BackendServer;
use crate::PrefixStore;
use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;

/// Time that a second copy of a held part counts as, in milliseconds, beside
/// the time to read it: it pushes other parts out of the engine's memory.
const SECOND_COPY_COST_MS: f64 = 400.0;

/// Time since its last use for which an engine is believed to hold a part, in
/// milliseconds: on heavy days its memory turns over in about as long.
const RESIDENT_MS: u64 = 5_000;

/// Time that fetching a part from a store counts as beside its transfer, in milliseconds.
const FETCH_COST_MS: f64 = 40.0;

/// Wait for a store's link from which nothing is fetched, in milliseconds: after
/// two seconds an engine reads the part itself.
const MAX_FETCH_WAIT_MS: u64 = 1_000;

/// Wait for a store's link up to which a part is saved that comes again, in milliseconds.
const MAX_REPEATED_SAVE_WAIT_MS: u64 = 400;

/// The same for a part that comes for the first time.
const MAX_FIRST_SAVE_WAIT_MS: u64 = 150;

/// Time that a second copy of a held part counts as that is fetched, in milliseconds.
const FETCHED_COPY_COST_MS: f64 = 200.0;

/// Time that each place further down in the order of homes counts as for a part
/// that is fetched, in milliseconds.
const FETCHED_RANK_COST_MS: f64 = 20.0;

/// Time that reading a part counts as which a store elsewhere keeps, beside the
/// time to read it, in milliseconds.
const STORED_ELSEWHERE_COST_MS: f64 = 400.0;

/// Time that reading a part counts as that comes again and that no store will
/// keep, beside the time to read it, in milliseconds.
const NOT_STORED_COST_MS: f64 = 300.0;

/// Time that each place further down in the order of homes counts as, in milliseconds.
const RANK_COST_MS: f64 = 200.0;

/// Silence from which an engine is not asked for parts, in milliseconds.
const SOURCE_UNRESPONSIVE_MS: u64 = 300;

/// The large shared part of a prompt, and who is believed to have it.
#[derive(Debug)]
pub(crate) struct SharedPrefix<'a> {
    state: PlacementState<'a>,
    part: PartKey,
    ranking: RendezvousRanking,
    /// Tokens in it.
    prefix_tokens: u64,
    /// Tokens in the whole prompt.
    prompt_tokens: u64,
    /// Engines that used it in the last half minute.
    holders: &'a [Holder],
    /// Those of them that are believed to hold it still.
    resident: Vec<Holder>,
}

impl<'a> SharedPrefix<'a> {
    /// Looks up who has a part of `tokens` in a prompt of `prompt_tokens` tokens.
    pub(crate) fn new(
        state: PlacementState<'a>,
        part: PartKey,
        tokens: u32,
        prompt_tokens: u64,
    ) -> SharedPrefix<'a> {
        let holders = state.holdings.holders(part);
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

    /// Adds to a choice what its engine has to read, and what going there costs.
    pub(crate) fn estimate(&self, server: &BackendServer, choice: &mut Choice) {
        let (store, fetchable) = self.near_and_fetchable_store(server);
        choice.held = self.resident.iter().any(|h| h.server == choice.server);
        if choice.held || fetchable.is_some() {
            choice.reading_ms =
                prefill_ms(self.prefix_tokens, self.prompt_tokens - self.prefix_tokens);
        }
        if !choice.held {
            choice.cost_ms += match fetchable {
                Some(fetchable) => self.fetch_cost_ms(server, fetchable),
                None => self.miss_cost_ms(server, store),
            };
        }
    }

    /// Adds to the choice that was made from where its engine takes the part, and
    /// whether it saves it.
    pub(crate) fn plan_transfer(&self, choice: &mut Choice) {
        let Some(server) = self.state.fleet.get(choice.server) else {
            return;
        };
        let (store, fetchable) = self.near_and_fetchable_store(server);
        choice.anchor = Some(self.part);
        choice.fetch_from = match fetchable {
            Some(fetchable) => Some(PartSource::Store(fetchable.address)),
            None => self.engine_source(choice.server, server),
        };
        choice.transfer = match fetchable {
            Some(fetchable) if !choice.held => Some(self.fetch(server, fetchable)),
            Some(_) => None,
            None => store.and_then(|store| self.save(server, store)),
        };
    }

    /// Returns the store near an engine, and the same if the part can be fetched there.
    fn near_and_fetchable_store(
        &self,
        server: &BackendServer,
    ) -> (Option<&'a PrefixStore>, Option<&'a PrefixStore>) {
        let store = self.state.stores.near(&server.entry.domain);
        (store, store.filter(|store| self.is_fetchable(store)))
    }

    /// Tells whether a store keeps the part and can send it soon.
    fn is_fetchable(&self, store: &PrefixStore) -> bool {
        let PlacementState { holdings, now, .. } = self.state;
        let is_link_free_soon = holdings.link_wait_ms(now, store.address) < MAX_FETCH_WAIT_MS;
        is_link_free_soon && holdings.is_saved(now, self.part, store.address)
    }

    fn fetch(&self, server: &BackendServer, store: &PrefixStore) -> Transfer {
        let stores = &self.state.stores;
        stores.transfer(TransferKind::Fetch, server, store, self.prefix_tokens)
    }

    /// Returns the transfer by which the part is saved, if it is to be: one that
    /// comes again rather than one that comes first, as the link carries fetches too.
    fn save(&self, server: &BackendServer, store: &PrefixStore) -> Option<Transfer> {
        let PlacementState { holdings, now, .. } = self.state;
        let limit_ms = if self.holders.is_empty() {
            MAX_FIRST_SAVE_WAIT_MS
        } else {
            MAX_REPEATED_SAVE_WAIT_MS
        };
        if holdings.link_wait_ms(now, store.address) > limit_ms {
            return None;
        }
        let stores = &self.state.stores;
        Some(stores.transfer(TransferKind::Save, server, store, self.prompt_tokens))
    }

    /// Returns the time that fetching the part from a store counts as.
    fn fetch_cost_ms(&self, server: &BackendServer, store: &PrefixStore) -> f64 {
        let PlacementState { holdings, now, .. } = self.state;
        let wait_ms = holdings.link_wait_ms(now, store.address) as f64;
        let link_ms = f64::from(self.fetch(server, store).link_ms);
        let copy_cost_ms = if self.resident.is_empty() {
            0.0
        } else {
            FETCHED_COPY_COST_MS
        };
        let rank = self.ranking.rank(server) as f64;
        FETCH_COST_MS + wait_ms + link_ms + copy_cost_ms + rank * FETCHED_RANK_COST_MS
    }

    /// Returns the time that reading the part counts as, beside the time itself.
    fn miss_cost_ms(&self, server: &BackendServer, store: Option<&PrefixStore>) -> f64 {
        if !self.resident.is_empty() {
            return SECOND_COPY_COST_MS;
        }
        let PlacementState { holdings, now, .. } = self.state;
        let mut miss_cost_ms = self.ranking.rank(server) as f64 * RANK_COST_MS;
        if holdings.is_saved_anywhere(now, self.part) {
            miss_cost_ms += STORED_ELSEWHERE_COST_MS;
        }
        if !self.holders.is_empty() && store.is_none() {
            miss_cost_ms += NOT_STORED_COST_MS;
        }
        miss_cost_ms
    }

    /// Returns an engine from which `server` may take the part.
    fn engine_source(&self, key: ServerKey, server: &BackendServer) -> Option<PartSource> {
        let holder = self.holder_elsewhere(&self.resident, key);
        let holder = holder.or_else(|| self.holder_elsewhere(self.holders, key));
        let engine = holder.or_else(|| self.next_ranked_engine(key, server));
        engine.map(PartSource::Engine)
    }

    /// Returns an engine of `holders`, beside the one that is to run the request.
    fn holder_elsewhere(&self, holders: &[Holder], except: ServerKey) -> Option<ServerKey> {
        let others = holders.iter().rev().map(|holder| holder.server);
        others
            .filter(|key| *key != except)
            .find(|key| self.is_responsive(*key))
    }

    /// Returns the engine that is most likely to hold the part if nobody is known to.
    fn next_ranked_engine(&self, except: ServerKey, server: &BackendServer) -> Option<ServerKey> {
        let weights = &server.entry.weights;
        let others = self.state.ready.iter();
        let others =
            others.filter(|(key, other)| *key != except && &other.entry.weights == weights);
        others
            .max_by_key(|(_, other)| homes::engine_weight(self.part, other))
            .map(|(key, _)| *key)
    }

    fn is_responsive(&self, key: ServerKey) -> bool {
        let server = self.state.fleet.get(key);
        server.is_some_and(|server| server.silent_ms(self.state.now) < SOURCE_UNRESPONSIVE_MS)
    }
}
