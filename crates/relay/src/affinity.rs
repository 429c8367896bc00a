//! What an engine's cache is worth to a request.
//!
//! Each shared part has a home, the same on every router: the engine that comes
//! first by rendezvous hashing among those that take requests. Large parts are
//! followed besides: where routers have sent them, they are believed to be held
//! for a while. Engines near a store of prompt parts save them there, and fetch
//! those that no engine holds any more.

use policy::Time;

use crate::holdings::Holdings;
use crate::holdings::PartKey;
use crate::large_part::LargePart;
use crate::placement::Choice;
use crate::placement::Prompt;
use crate::placement::PromptPart;
use crate::reading::reading_ms;
use crate::BackendServer;
use crate::Fleet;
use crate::PrefixStores;
use crate::ServerKey;

/// Size from which a part is followed, in tokens.
const LARGE_TOKENS: u32 = 1_000;

/// Places in the order of homes that are told apart.
const MAX_RANK: usize = 4;

/// Time that each token of a small shared part counts as which is read again, in
/// milliseconds, and the tokens up to which it does.
const SMALL_MISS_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_TOKENS: u32 = 150;

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
                LargePart::new(self, part, large.tokens, all).judge(server, choice);
            }
            None => choice.cost_ms += self.small_miss_ms(prompt.model, shared, server),
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

    /// Returns how many engines come before `server` as home of a part.
    pub(crate) fn rank(&self, part: PartKey, server: &BackendServer) -> usize {
        let weight = policy::rendezvous_weight(part.0, server.mark);
        let before = self
            .ready
            .iter()
            .filter(|(_, other)| policy::rendezvous_weight(part.0, other.mark) > weight);
        before.count().min(MAX_RANK)
    }
}
