//! What engines' caches are worth to a request.
//!
//! Each shared part has a home, the same on every router: the engine that comes
//! first by rendezvous hashing among those that take requests. Large parts are
//! followed besides: where routers have sent them, they are believed to be held
//! for a while. Engines near a store of prompt parts save them there, and fetch
//! those that no engine holds any more.

use std::collections::BTreeMap;

use policy::Time;

use crate::holdings::Holdings;
use crate::holdings::PartKey;
use crate::homes::RendezvousRanking;
use crate::large_part::SharedPrefix;
use crate::placement::Choice;
use crate::placement::Prompt;
use crate::placement::PromptPart;
use crate::reading::prefill_ms;
use crate::BackendServer;
use crate::Fleet;
use crate::PrefixStores;
use crate::ServerKey;

/// Size from which a part is followed, in tokens.
const MIN_TRACKED_TOKENS: u32 = 1_000;

/// Time that each token of a small shared part counts as which is read again, in
/// milliseconds, and the tokens up to which it does.
const SMALL_MISS_COST_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_MISS_TOKENS: u32 = 150;

/// What is known when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementState<'a> {
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

/// The shared parts of a prompt.
#[derive(Debug)]
enum SharedParts<'a> {
    None,
    /// Small ones; their home is that of the innermost, which has the others too.
    Small {
        ranking: RendezvousRanking,
        /// Time that going elsewhere counts as, in milliseconds.
        miss_cost_ms: f64,
    },
    /// A large one, under each version of the weights.
    Large(BTreeMap<u64, SharedPrefix<'a>>),
}

/// What engines' caches are worth to one prompt.
#[derive(Debug)]
pub(crate) struct Affinity<'a> {
    /// Tokens in the prompt.
    tokens: u64,
    shared: SharedParts<'a>,
}

impl<'a> Affinity<'a> {
    /// Looks up what is shared of a prompt.
    pub(crate) fn new(state: PlacementState<'a>, prompt: &Prompt<'_>) -> Affinity<'a> {
        let tokens = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        let shared = prompt.parts.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default();
        let large = shared.iter().find(|part| part.tokens >= MIN_TRACKED_TOKENS);
        let shared = match (large, shared.last()) {
            (Some(large), _) => {
                SharedParts::Large(prefixes_by_version(state, prompt, large, tokens))
            }
            (None, Some(innermost)) => SharedParts::Small {
                ranking: RendezvousRanking::new(
                    PartKey::new(prompt.model, "", innermost.id),
                    state.ready,
                ),
                miss_cost_ms: small_miss_cost_ms(shared),
            },
            (None, None) => SharedParts::None,
        };
        Affinity { tokens, shared }
    }

    /// Adds to a choice what its engine has to read, and what going there costs.
    pub(crate) fn estimate(&self, server: &BackendServer, choice: &mut Choice) {
        choice.reading_ms = prefill_ms(0, self.tokens);
        let Some(weights) = choice.weights else {
            return;
        };
        match &self.shared {
            SharedParts::Large(parts) => parts[&weights].estimate(server, choice),
            SharedParts::Small {
                ranking,
                miss_cost_ms,
            } if ranking.rank(server) > 0 => {
                choice.cost_ms += miss_cost_ms;
            }
            SharedParts::Small { .. } | SharedParts::None => {}
        }
    }

    /// Adds to the choice that was made what its engine is told of the large part.
    pub(crate) fn plan_transfer(&self, choice: &mut Choice) {
        if let (SharedParts::Large(parts), Some(weights)) = (&self.shared, choice.weights) {
            parts[&weights].plan_transfer(choice);
        }
    }
}

/// Looks up a large part under each version of the weights that an engine has.
fn prefixes_by_version<'a>(
    state: PlacementState<'a>,
    prompt: &Prompt<'_>,
    large: &PromptPart,
    tokens: u64,
) -> BTreeMap<u64, SharedPrefix<'a>> {
    let mut parts = BTreeMap::new();
    for (_, server) in state.ready {
        let Some(weights) = server.weights(prompt.model) else {
            continue;
        };
        parts.entry(weights).or_insert_with(|| {
            let scope = crate::cache_scope(weights, prompt.workspace);
            let part = PartKey::new(prompt.model, &scope, large.id);
            SharedPrefix::new(state, part, large.tokens, tokens)
        });
    }
    parts
}

fn small_miss_cost_ms(shared: &[PromptPart]) -> f64 {
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    f64::from(tokens.min(MAX_SMALL_MISS_TOKENS)) * SMALL_MISS_COST_MS_PER_TOKEN
}
