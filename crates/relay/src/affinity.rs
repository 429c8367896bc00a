//! Scores engines for a prompt by the prompt parts in their caches.
//!
//! Every shared part has a preferred engine: the first by rendezvous hashing among
//! the engines that accept requests, which is the same on every router. For a large
//! shared part (a shared prefix) routers also track where they have sent it; that
//! engine is expected to keep it cached for a while. Engines near a prefix store
//! save shared prefixes there and fetch those that no engine caches any more.

use std::collections::BTreeMap;

use policy::Time;

use crate::placement::Choice;
use crate::placement::Prompt;
use crate::prefill::prefill_ms;
use crate::rendezvous::RendezvousRanking;
use crate::residency::PartKey;
use crate::residency::Residency;
use crate::shared_prefix::SharedPrefix;
use crate::BackendServer;
use crate::Build;
use crate::Fleet;
use crate::PrefixStores;
use crate::PromptPart;
use crate::ServerKey;

/// Size from which shared parts are tracked as a shared prefix, in tokens.
const MIN_TRACKED_TOKENS: u32 = 1_000;

/// Fraction of the largest shared part that a part within it must have for the prefix to
/// extend to it. A smaller one is shared by fewer requests and saves little.
const MIN_NESTED_FRACTION: u32 = 2;

/// Cost of each token of small shared parts that must be prefilled again, in
/// milliseconds, and the number of tokens up to which the cost grows.
const SMALL_MISS_COST_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_MISS_TOKENS: u32 = 150;

/// State of the cluster that one placement decision is based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementState<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines cache which parts.
    pub residency: &'a Residency,
    /// Prefix stores.
    pub stores: PrefixStores<'a>,
    /// Current time.
    pub now: Time,
    /// Engines that accept the request.
    pub ready: &'a [(ServerKey, &'a BackendServer)],
}

/// The shared parts of a prompt: all parts but the last.
#[derive(Debug)]
enum SharedParts<'a> {
    None,
    /// Only small parts, ranked by the innermost: an engine that caches it caches the others too.
    Small {
        ranking: RendezvousRanking,
        /// Cost of any engine but the first in the ranking, in milliseconds.
        miss_cost_ms: f64,
    },
    /// A shared prefix, by what it would be computed with.
    Large(BTreeMap<EngineVersion, SharedPrefix<'a>>),
}

/// What a cached part is computed with; engines of different versions share none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineVersion {
    weights: u64,
    build: Build,
}

/// Cache affinity of one prompt, from which candidate engines are scored.
#[derive(Debug)]
pub(crate) struct Affinity<'a> {
    /// Length of the prompt, in tokens.
    tokens: u64,
    shared: SharedParts<'a>,
}

impl<'a> Affinity<'a> {
    /// Finds the prompt's shared parts and the engines that may cache them.
    pub(crate) fn new(state: PlacementState<'a>, prompt: &Prompt<'_>) -> Affinity<'a> {
        let tokens = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        let shared = prompt.parts.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default();
        let shared = match (tracked_prefix(shared), shared.last()) {
            (Some(prefix), _) => {
                SharedParts::Large(prefixes_by_version(state, prompt, prefix, tokens))
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

    /// Sets the prefill time of a candidate and adds its cache-related costs.
    pub(crate) fn estimate(&self, server: &BackendServer, choice: &mut Choice) {
        choice.prefill_ms = prefill_ms(0, self.tokens);
        let Some(weights) = choice.weights else {
            return;
        };
        match &self.shared {
            SharedParts::Large(parts) => {
                let build = choice.build;
                parts[&EngineVersion { weights, build }].estimate(server, choice);
            }
            SharedParts::Small {
                ranking,
                miss_cost_ms,
            } if ranking.rank(server) > 0 => {
                choice.cost_ms += miss_cost_ms;
            }
            SharedParts::Small { .. } | SharedParts::None => {}
        }
    }

    /// Sets where the chosen engine gets the shared prefix from and whether it saves it.
    pub(crate) fn plan_transfer(&self, choice: &mut Choice) {
        if let (SharedParts::Large(parts), Some(weights)) = (&self.shared, choice.weights) {
            let build = choice.build;
            parts[&EngineVersion { weights, build }].plan_transfer(choice);
        }
    }
}

/// Returns the shared prefix to track: the id of its innermost part and the length of all its
/// parts. It ends with the innermost part that isn't small against the largest one, so that
/// sessions whose long histories begin with the same few instructions get keys of their own.
fn tracked_prefix(shared: &[PromptPart]) -> Option<PromptPart> {
    let largest = shared.iter().map(|part| part.tokens).max()?;
    let is_large = |part: &PromptPart| part.tokens >= largest.div_ceil(MIN_NESTED_FRACTION);
    let end = shared.iter().rposition(is_large)?;
    let prefix = PromptPart {
        id: shared[end].id,
        tokens: shared[..=end].iter().map(|part| part.tokens).sum(),
    };
    (prefix.tokens >= MIN_TRACKED_TOKENS).then_some(prefix)
}

/// Looks up a shared prefix under each version that a ready engine has.
fn prefixes_by_version<'a>(
    state: PlacementState<'a>,
    prompt: &Prompt<'_>,
    prefix: PromptPart,
    tokens: u64,
) -> BTreeMap<EngineVersion, SharedPrefix<'a>> {
    let mut parts = BTreeMap::new();
    for (_, server) in state.ready {
        let Some(weights) = server.weights(prompt.model) else {
            continue;
        };
        let build = server.build;
        let version = EngineVersion { weights, build };
        parts.entry(version).or_insert_with(|| {
            let scope = crate::cache_scope(weights, build, prompt.partition);
            let part = PartKey::new(prompt.model, &scope, prefix.id);
            SharedPrefix::new(state, part, prefix.tokens, tokens)
        });
    }
    parts
}

fn small_miss_cost_ms(shared: &[PromptPart]) -> f64 {
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    f64::from(tokens.min(MAX_SMALL_MISS_TOKENS)) * SMALL_MISS_COST_MS_PER_TOKEN
}
