//! What an engine's cache is worth to a request.
//!
//! Each shared part has a home, the same on every router: the engine that comes
//! first by rendezvous hashing among those that take requests. Large parts are
//! followed besides: where routers have sent them, they are believed to be held
//! for a while. Engines near a store of prompt parts save them there, and fetch
//! those that no engine holds any more.

use policy::Time;

use crate::holdings::Holder;
use crate::holdings::Holdings;
use crate::holdings::PartKey;
use crate::placement::Choice;
use crate::placement::PartSource;
use crate::placement::Prompt;
use crate::placement::PromptPart;
use crate::reading::reading_ms;
use crate::BackendServer;
use crate::Fleet;
use crate::PrefixStore;
use crate::PrefixStores;
use crate::ServerKey;
use crate::TransferKind::Fetch;
use crate::TransferKind::Save;

/// Size from which a part is followed, in tokens.
const LARGE_TOKENS: u32 = 1_000;

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

/// Places in the order of homes that are told apart.
const MAX_RANK: usize = 4;

/// Time that each token of a small shared part counts as which is read again, in
/// milliseconds, and the tokens up to which it does.
const SMALL_MISS_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_TOKENS: u32 = 150;

/// Silence from which an engine is not asked for parts, in milliseconds.
const SILENT_MS: u64 = 300;

/// Judges engines by what they hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Affinity<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines hold which parts.
    pub holdings: &'a Holdings,
    /// Stores of prompt parts.
    pub stores: PrefixStores<'a>,
    /// Present time.
    pub now: Time,
    /// Engines that take the request.
    pub ready: &'a [(ServerKey, &'a BackendServer)],
}

impl Affinity<'_> {
    /// Adds to a choice what its engine has to read, and what going there costs.
    pub(crate) fn judge(&self, prompt: &Prompt<'_>, server: &BackendServer, choice: &mut Choice) {
        let all: u64 = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        choice.reading_ms = reading_ms(0, all);
        let shared = prompt.parts.split_last().map(|(_, shared)| shared);
        let (Some(shared), Some(weights)) = (shared, choice.weights) else {
            return;
        };
        let large = shared.iter().find(|part| part.tokens >= LARGE_TOKENS);
        match large {
            Some(large) => {
                let scope = crate::cache_scope(weights, prompt.workspace);
                let part = PartKey::new(prompt.model, &scope, large.id);
                self.judge_large(part, u64::from(large.tokens), all, server, choice);
            }
            None => choice.cost_ms += self.small_miss_ms(prompt.model, shared, server),
        }
    }

    fn judge_large(
        &self,
        part: PartKey,
        tokens: u64,
        all: u64,
        server: &BackendServer,
        choice: &mut Choice,
    ) {
        let holders = self.holdings.holders(part);
        let fresh = holders.iter().filter(|holder| self.is_fresh(holder));
        let fresh: Vec<Holder> = fresh.copied().collect();
        let store = self.stores.near(&server.entry.domain);
        let keeps = |store: &&PrefixStore| {
            let wait_ms = self.holdings.link_wait_ms(self.now, store.address);
            wait_ms < MAX_FETCH_WAIT_MS && self.holdings.is_saved(self.now, part, store.address)
        };
        let keeper = store.filter(keeps);
        choice.anchor = Some(part);
        choice.held = fresh.iter().any(|holder| holder.server == choice.server);
        choice.fetch_from = match keeper {
            Some(store) => Some(PartSource::Store(store.address)),
            None => self.engine_source(part, &fresh, choice.server, server),
        };
        if choice.held || keeper.is_some() {
            choice.reading_ms = reading_ms(tokens, all - tokens);
        }
        choice.transfer = match (keeper, store) {
            (Some(_), _) if choice.held => None,
            (Some(keeper), _) => Some(self.stores.transfer(Fetch, server, keeper, tokens)),
            (None, Some(store)) if self.may_save(store, !holders.is_empty()) => {
                Some(self.stores.transfer(Save, server, store, all))
            }
            (None, _) => None,
        };
        if choice.held {
            return;
        }
        let rank = self.rank(part, server) as f64;
        choice.cost_ms += match (keeper, fresh.is_empty()) {
            (Some(keeper), is_lost) => {
                let wait_ms = self.holdings.link_wait_ms(self.now, keeper.address);
                let link_ms = choice.transfer.map_or(0, |fetch| fetch.link_ms);
                let copy_ms = if is_lost { 0.0 } else { FETCHED_COPY_MS };
                FETCH_MS + wait_ms as f64 + f64::from(link_ms) + copy_ms + rank * FETCHED_RANK_MS
            }
            (None, false) => SECOND_COPY_MS,
            (None, true) => rank * RANK_MS + self.lost_part_ms(part, store),
        };
    }

    /// Tells whether a part is saved to a store: one that comes again rather than
    /// one that comes first, as the store's link carries fetches too.
    fn may_save(&self, store: &PrefixStore, comes_again: bool) -> bool {
        let limit_ms = if comes_again {
            SAVE_AGAIN_WAIT_MS
        } else {
            SAVE_FIRST_WAIT_MS
        };
        self.holdings.link_wait_ms(self.now, store.address) <= limit_ms
    }

    /// Returns the time that reading a part again counts as which no engine is
    /// believed to hold any more, beside the time itself.
    fn lost_part_ms(&self, part: PartKey, store: Option<&PrefixStore>) -> f64 {
        let kept = self.holdings.is_saved_anywhere(self.now, part);
        let seen = !self.holdings.holders(part).is_empty();
        let kept_elsewhere_ms = if kept { KEPT_ELSEWHERE_MS } else { 0.0 };
        let not_kept_ms = if seen && store.is_none() {
            NOT_KEPT_MS
        } else {
            0.0
        };
        kept_elsewhere_ms + not_kept_ms
    }

    fn is_fresh(&self, holder: &Holder) -> bool {
        self.now.millis_since(holder.used_at) < FRESH_MS
    }

    /// Returns an engine from which `server` may take a part.
    fn engine_source(
        &self,
        part: PartKey,
        fresh: &[Holder],
        key: ServerKey,
        server: &BackendServer,
    ) -> Option<PartSource> {
        let holders = self.holdings.holders(part);
        let holder = self.holder_elsewhere(fresh, key);
        let holder = holder.or_else(|| self.holder_elsewhere(holders, key));
        let engine = holder.or_else(|| self.next_home(part, key, server));
        engine.map(PartSource::Engine)
    }

    /// Returns the time that going elsewhere than to the home of small shared
    /// parts counts as. Their home is that of the innermost, which has the others too.
    fn small_miss_ms(&self, model: &str, shared: &[PromptPart], server: &BackendServer) -> f64 {
        let Some(innermost) = shared.last() else {
            return 0.0;
        };
        let part = PartKey::new(model, "", innermost.id);
        if self.rank(part, server) == 0 {
            return 0.0;
        }
        let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        f64::from(tokens.min(MAX_SMALL_TOKENS)) * SMALL_MISS_MS_PER_TOKEN
    }

    /// Returns an engine that holds a part, beside the one that is to run the request.
    fn holder_elsewhere(&self, holders: &[Holder], besides: ServerKey) -> Option<ServerKey> {
        let others = holders.iter().rev().map(|holder| holder.server);
        others
            .filter(|key| *key != besides)
            .find(|key| self.can_give(*key))
    }

    /// Returns the engine that is most likely to hold a part which nobody is known to hold.
    fn next_home(
        &self,
        part: PartKey,
        besides: ServerKey,
        server: &BackendServer,
    ) -> Option<ServerKey> {
        let weights = &server.entry.weights;
        let others = self
            .ready
            .iter()
            .filter(|(key, other)| *key != besides && &other.entry.weights == weights);
        others
            .max_by_key(|(_, other)| policy::rendezvous_weight(part.0, other.mark))
            .map(|(key, _)| *key)
    }

    fn can_give(&self, key: ServerKey) -> bool {
        let server = self.fleet.get(key);
        server.is_some_and(|server| server.silent_ms(self.now) < SILENT_MS)
    }

    /// Returns how many engines come before `server` as home of a part.
    fn rank(&self, part: PartKey, server: &BackendServer) -> usize {
        let weight = policy::rendezvous_weight(part.0, server.mark);
        let before = self
            .ready
            .iter()
            .filter(|(_, other)| policy::rendezvous_weight(part.0, other.mark) > weight);
        before.count().min(MAX_RANK)
    }
}
