//! What the large shared part of a prompt is worth to an engine.
//!
//! The part is held by the engines that used it lately, or kept by a store, or it
//! has to be read: what an engine lacks decides what going there costs.

use crate::affinity::Known;
use crate::holdings::Holder;
use crate::holdings::PartKey;
use crate::homes;
use crate::homes::Homes;
use crate::placement::Choice;
use crate::placement::PartSource;
use crate::reading::reading_ms;
use crate::BackendServer;
use crate::PrefixStore;
use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;

/// Time that a second copy of a held part counts as, in milliseconds, beside
/// the time to read it: it pushes other parts out of the engine's memory.
const SECOND_COPY_MS: f64 = 400.0;

/// Time since its last use for which an engine is believed to hold a part, in
/// milliseconds: on heavy days its memory turns over in about as long.
const FRESH_MS: u64 = 5_000;

/// Time that fetching a part from a store counts as beside its transfer, in milliseconds.
const FETCH_MS: f64 = 40.0;

/// Wait for a store's link from which nothing is fetched, in milliseconds: after
/// two seconds an engine reads the part itself.
const MAX_FETCH_WAIT_MS: u64 = 1_000;

/// Wait for a store's link up to which a part is saved that comes again, in milliseconds.
const SAVE_AGAIN_WAIT_MS: u64 = 400;

/// The same for a part that comes for the first time.
const SAVE_FIRST_WAIT_MS: u64 = 150;

/// Time that a second copy of a held part counts as that is fetched, in milliseconds.
const FETCHED_COPY_MS: f64 = 200.0;

/// Time that each place further down in the order of homes counts as for a part
/// that is fetched, in milliseconds.
const FETCHED_RANK_MS: f64 = 20.0;

/// Time that reading a part counts as which a store elsewhere keeps, beside the
/// time to read it, in milliseconds.
const KEPT_ELSEWHERE_MS: f64 = 400.0;

/// Time that reading a part counts as that comes again and that no store will
/// keep, beside the time to read it, in milliseconds.
const NOT_KEPT_MS: f64 = 300.0;

/// Time that each place further down in the order of homes counts as, in milliseconds.
const RANK_MS: f64 = 200.0;

/// Silence from which an engine is not asked for parts, in milliseconds.
const SILENT_MS: u64 = 300;

/// The large shared part of a prompt, and who is believed to have it.
#[derive(Debug)]
pub(crate) struct LargePart<'a> {
    known: Known<'a>,
    part: PartKey,
    homes: Homes,
    /// Tokens in it.
    tokens: u64,
    /// Tokens in the whole prompt.
    all: u64,
    /// Engines that used it in the last half minute.
    holders: &'a [Holder],
    /// Those of them that are believed to hold it still.
    fresh: Vec<Holder>,
}

impl<'a> LargePart<'a> {
    /// Looks up who has a part of `tokens` in a prompt of `all` tokens.
    pub(crate) fn new(known: Known<'a>, part: PartKey, tokens: u32, all: u64) -> LargePart<'a> {
        let holders = known.residency.holders(part);
        let is_fresh = |holder: &Holder| known.now.millis_since(holder.used_at) < FRESH_MS;
        LargePart {
            known,
            part,
            homes: Homes::new(part, known.ready),
            tokens: u64::from(tokens),
            all,
            holders,
            fresh: holders.iter().copied().filter(is_fresh).collect(),
        }
    }

    /// Adds to a choice what its engine has to read, and what going there costs.
    pub(crate) fn judge(&self, server: &BackendServer, choice: &mut Choice) {
        let (store, keeper) = self.store_and_keeper(server);
        choice.caches_prefix = self.fresh.iter().any(|h| h.server == choice.server);
        if choice.caches_prefix || keeper.is_some() {
            choice.reading_ms = reading_ms(self.tokens, self.all - self.tokens);
        }
        if !choice.caches_prefix {
            choice.cost_ms += match keeper {
                Some(keeper) => self.fetch_ms(server, keeper),
                None => self.miss_ms(server, store),
            };
        }
    }

    /// Adds to the choice that was made from where its engine takes the part, and
    /// whether it saves it.
    pub(crate) fn equip(&self, choice: &mut Choice) {
        let Some(server) = self.known.fleet.get(choice.server) else {
            return;
        };
        let (store, keeper) = self.store_and_keeper(server);
        choice.shared_prefix = Some(self.part);
        choice.fetch_from = match keeper {
            Some(keeper) => Some(PartSource::Store(keeper.address)),
            None => self.engine_source(choice.server, server),
        };
        choice.transfer = match keeper {
            Some(keeper) if !choice.caches_prefix => Some(self.fetch(server, keeper)),
            Some(_) => None,
            None => store.and_then(|store| self.save(server, store)),
        };
    }

    /// Returns the store near an engine, and the same if the part can be fetched there.
    fn store_and_keeper(
        &self,
        server: &BackendServer,
    ) -> (Option<&'a PrefixStore>, Option<&'a PrefixStore>) {
        let store = self.known.stores.near(&server.registration.domain);
        (store, store.filter(|store| self.is_fetchable(store)))
    }

    /// Tells whether a store keeps the part and can send it soon.
    fn is_fetchable(&self, store: &PrefixStore) -> bool {
        let Known { residency, now, .. } = self.known;
        let is_near = residency.link_wait_ms(now, store.address) < MAX_FETCH_WAIT_MS;
        is_near && residency.is_saved(now, self.part, store.address)
    }

    fn fetch(&self, server: &BackendServer, keeper: &PrefixStore) -> Transfer {
        let stores = &self.known.stores;
        stores.transfer(TransferKind::Fetch, server, keeper, self.tokens)
    }

    /// Returns the transfer by which the part is saved, if it is to be: one that
    /// comes again rather than one that comes first, as the link carries fetches too.
    fn save(&self, server: &BackendServer, store: &PrefixStore) -> Option<Transfer> {
        let Known { residency, now, .. } = self.known;
        let limit_ms = if self.holders.is_empty() {
            SAVE_FIRST_WAIT_MS
        } else {
            SAVE_AGAIN_WAIT_MS
        };
        if residency.link_wait_ms(now, store.address) > limit_ms {
            return None;
        }
        let stores = &self.known.stores;
        Some(stores.transfer(TransferKind::Save, server, store, self.all))
    }

    /// Returns the time that fetching the part from a store counts as.
    fn fetch_ms(&self, server: &BackendServer, keeper: &PrefixStore) -> f64 {
        let Known { residency, now, .. } = self.known;
        let wait_ms = residency.link_wait_ms(now, keeper.address) as f64;
        let link_ms = f64::from(self.fetch(server, keeper).link_ms);
        let copy_ms = if self.fresh.is_empty() {
            0.0
        } else {
            FETCHED_COPY_MS
        };
        let rank = self.homes.rank(server) as f64;
        FETCH_MS + wait_ms + link_ms + copy_ms + rank * FETCHED_RANK_MS
    }

    /// Returns the time that reading the part counts as, beside the time itself.
    fn miss_ms(&self, server: &BackendServer, store: Option<&PrefixStore>) -> f64 {
        if !self.fresh.is_empty() {
            return SECOND_COPY_MS;
        }
        let Known { residency, now, .. } = self.known;
        let mut miss_ms = self.homes.rank(server) as f64 * RANK_MS;
        if residency.is_saved_anywhere(now, self.part) {
            miss_ms += KEPT_ELSEWHERE_MS;
        }
        if !self.holders.is_empty() && store.is_none() {
            miss_ms += NOT_KEPT_MS;
        }
        miss_ms
    }

    /// Returns an engine from which `server` may take the part.
    fn engine_source(&self, key: ServerKey, server: &BackendServer) -> Option<PartSource> {
        let holder = self.holder_elsewhere(&self.fresh, key);
        let holder = holder.or_else(|| self.holder_elsewhere(self.holders, key));
        let engine = holder.or_else(|| self.next_home(key, server));
        engine.map(PartSource::Engine)
    }

    /// Returns an engine of `holders`, beside the one that is to run the request.
    fn holder_elsewhere(&self, holders: &[Holder], besides: ServerKey) -> Option<ServerKey> {
        let others = holders.iter().rev().map(|holder| holder.server);
        others
            .filter(|key| *key != besides)
            .find(|key| self.can_give(*key))
    }

    /// Returns the engine that is most likely to hold the part if nobody is known to.
    fn next_home(&self, besides: ServerKey, server: &BackendServer) -> Option<ServerKey> {
        let weights = &server.registration.weights;
        let others = self.known.ready.iter();
        let others =
            others.filter(|(key, other)| *key != besides && &other.registration.weights == weights);
        others
            .max_by_key(|(_, other)| homes::weight(self.part, other))
            .map(|(key, _)| *key)
    }

    fn can_give(&self, key: ServerKey) -> bool {
        let server = self.known.fleet.get(key);
        server.is_some_and(|server| server.unresponsive_ms(self.known.now) < SILENT_MS)
    }
}
