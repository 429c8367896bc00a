//! What engines' caches are worth to a request.
//!
//! Each shared part has a home, the same on every router: the engine that comes
//! first by rendezvous hashing among those that take requests. Large parts are
//! followed besides: where routers have sent them, they are believed to be held
//! for a while. Engines near a store of prompt parts save them there, and fetch
//! those that no engine holds any more.

use std::collections::BTreeMap;

use policy::Time;

use crate::holdings::PartKey;
use crate::holdings::Residency;
use crate::homes::Homes;
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

/// Time that each token of a small shared part counts as which is read again, in
/// milliseconds, and the tokens up to which it does.
const SMALL_MISS_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_TOKENS: u32 = 150;

/// What is known when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines hold which parts.
    pub residency: &'a Residency,
    /// Stores of prompt parts.
    pub stores: PrefixStores<'a>,
    /// Present time.
    pub now: Time,
    /// Engines that take the request.
    pub ready: &'a [(ServerKey, &'a BackendServer)],
}

/// The shared parts of a prompt.
#[derive(Debug)]
enum Shared<'a> {
    None,
    /// Small ones; their home is that of the innermost, which has the others too.
    Small {
        homes: Homes,
        /// Time that going elsewhere counts as, in milliseconds.
        miss_ms: f64,
    },
    /// A large one, under each version of the weights.
    Large(BTreeMap<u64, LargePart<'a>>),
}

/// What engines' caches are worth to one prompt.
#[derive(Debug)]
pub(crate) struct Affinity<'a> {
    /// Tokens in the prompt.
    tokens: u64,
    shared: Shared<'a>,
}

impl<'a> Affinity<'a> {
    /// Looks up what is shared of a prompt.
    pub(crate) fn new(known: Known<'a>, prompt: &Prompt<'_>) -> Affinity<'a> {
        let tokens = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        let shared = prompt.parts.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default();
        let large = shared.iter().find(|part| part.tokens >= LARGE_TOKENS);
        let shared = match (large, shared.last()) {
            (Some(large), _) => Shared::Large(large_parts(known, prompt, large, tokens)),
            (None, Some(innermost)) => Shared::Small {
                homes: Homes::new(PartKey::new(prompt.model, "", innermost.id), known.ready),
                miss_ms: small_miss_ms(shared),
            },
            (None, None) => Shared::None,
        };
        Affinity { tokens, shared }
    }

    /// Adds to a choice what its engine has to read, and what going there costs.
    pub(crate) fn judge(&self, server: &BackendServer, choice: &mut Choice) {
        choice.reading_ms = reading_ms(0, self.tokens);
        let Some(weights) = choice.weights else {
            return;
        };
        match &self.shared {
            Shared::Large(parts) => parts[&weights].judge(server, choice),
            Shared::Small { homes, miss_ms } if homes.rank(server) > 0 => {
                choice.cost_ms += miss_ms;
            }
            Shared::Small { .. } | Shared::None => {}
        }
    }

    /// Adds to the choice that was made what its engine is told of the large part.
    pub(crate) fn equip(&self, choice: &mut Choice) {
        if let (Shared::Large(parts), Some(weights)) = (&self.shared, choice.weights) {
            parts[&weights].equip(choice);
        }
    }
}

/// Looks up a large part under each version of the weights that an engine has.
fn large_parts<'a>(
    known: Known<'a>,
    prompt: &Prompt<'_>,
    large: &PromptPart,
    tokens: u64,
) -> BTreeMap<u64, LargePart<'a>> {
    let mut parts = BTreeMap::new();
    for (_, server) in known.ready {
        let Some(weights) = server.weights(prompt.model) else {
            continue;
        };
        parts.entry(weights).or_insert_with(|| {
            let scope = crate::cache_scope(weights, prompt.workspace);
            let part = PartKey::new(prompt.model, &scope, large.id);
            LargePart::new(known, part, large.tokens, tokens)
        });
    }
    parts
}

fn small_miss_ms(shared: &[PromptPart]) -> f64 {
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    f64::from(tokens.min(MAX_SMALL_TOKENS)) * SMALL_MISS_MS_PER_TOKEN
}
