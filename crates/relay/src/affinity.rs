//! What an engine's cache is worth to a request.
//!
//! Each shared part has a home, the same on every router: the engine that comes
//! first by rendezvous hashing among those that take requests. Large parts are
//! followed besides: where routers have sent them, they are believed to be held.

use policy::Time;

use crate::holdings::Holder;
use crate::holdings::Holdings;
use crate::holdings::PartKey;
use crate::placement::Choice;
use crate::placement::Prompt;
use crate::placement::PromptPart;
use crate::reading::reading_ms;
use crate::BackendServer;
use crate::Fleet;
use crate::ServerKey;

/// Size from which a part is followed, in tokens.
const LARGE_TOKENS: u32 = 1_000;

/// Time that a second copy of a held part counts as, in milliseconds, beside
/// the time to read it: it pushes other parts out of the engine's memory.
const SECOND_COPY_MS: f64 = 400.0;

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
        choice.anchor = Some(part);
        choice.held = holders.iter().any(|holder| holder.server == choice.server);
        choice.fetch_from = self
            .holder_elsewhere(holders, choice.server)
            .or_else(|| self.next_home(part, choice.server, server));
        if choice.held {
            choice.reading_ms = reading_ms(tokens, all - tokens);
        } else if holders.is_empty() {
            choice.cost_ms += self.rank(part, server) as f64 * RANK_MS;
        } else {
            choice.cost_ms += SECOND_COPY_MS;
        }
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
