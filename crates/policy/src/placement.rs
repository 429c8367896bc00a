//! Choice of the engine for a request.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use config::Weights;

use crate::fleet::Fleet;
use crate::interner::NameKey;
use crate::PieceKey;
use crate::ServerKey;
use crate::Time;

/// Servers, in the order of affinity, among which load decides.
const AFFINITY_WIDTH: usize = 3;

/// What is known of a request when its engine is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Ask {
    pub(crate) workspace: NameKey,
    pub(crate) model: NameKey,
    pub(crate) weights_version: u64,
    pub(crate) pieces: Vec<PieceKey>,
    pub(crate) prompt_tokens: u64,
    pub(crate) weights: Weights,
    pub(crate) prefill_us_per_token: f64,
    pub(crate) kv_bytes_per_token: u64,
    pub(crate) rank: u8,
    pub(crate) fingerprint: u64,
}

/// The engine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) server: ServerKey,
    pub(crate) expected_cached_tokens: u64,
    pub(crate) fetch_from: Option<ServerKey>,
    /// Time at which the engine is expected to begin with the prompt.
    pub(crate) begins_at: Time,
    /// Time at which the first token is expected.
    pub(crate) first_token_at: Time,
}

/// What this router knows of the load of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct LoadView {
    reported_tokens: u64,
    /// Prompt tokens that this router has with the engine before its first token.
    own_tokens: u64,
}

/// Chooses engines by affinity of the prompt's prefix, bounded by load.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    loads: HashMap<ServerKey, LoadView>,
}

impl Placement {
    /// Takes a load report in.
    pub(crate) fn on_load(&mut self, server: ServerKey, queued_tokens: u64) {
        self.loads.entry(server).or_default().reported_tokens = queued_tokens;
    }

    /// Forgets what was known of a server's cache and load.
    pub(crate) fn on_reset(&mut self, server: ServerKey) {
        self.loads.entry(server).or_default().reported_tokens = 0;
    }

    /// Takes in that a request was sent.
    pub(crate) fn on_sent(&mut self, server: ServerKey, ask: &Ask) {
        self.loads.entry(server).or_default().own_tokens += ask.prompt_tokens;
    }

    /// Takes in that a request no longer waits for its first token.
    pub(crate) fn on_left_queue(&mut self, server: ServerKey, ask: &Ask) {
        let view = self.loads.entry(server).or_default();
        view.own_tokens = view.own_tokens.saturating_sub(ask.prompt_tokens);
    }

    /// Chooses among `candidates`.
    pub(crate) fn choose(
        &self,
        now: Time,
        ask: &Ask,
        candidates: &[ServerKey],
        fleet: &Fleet,
    ) -> Option<Choice> {
        let family = ask.pieces.first().map_or(ask.fingerprint, |piece| piece.0);
        let mut ranked: Vec<(bool, u64, ServerKey)> = candidates
            .iter()
            .map(|key| {
                let suspect = fleet.server(*key).suspect_until > now;
                (suspect, !affinity(family, &fleet.server(*key).name), *key)
            })
            .collect();
        ranked.sort_unstable();
        let (_, _, server) = ranked
            .into_iter()
            .take(AFFINITY_WIDTH)
            .enumerate()
            .min_by_key(|(place, (suspect, _, key))| (*suspect, self.queued(*key), *place))?
            .1;
        let wait_us = self.queued(server) as f64 * ask.prefill_us_per_token;
        let prefill_us = ask.prompt_tokens as f64 * ask.prefill_us_per_token;
        let begins_at = now.plus_micros(wait_us as u64);
        Some(Choice {
            server,
            expected_cached_tokens: 0,
            fetch_from: None,
            begins_at,
            first_token_at: begins_at.plus_micros(prefill_us as u64),
        })
    }

    fn queued(&self, server: ServerKey) -> u64 {
        self.loads
            .get(&server)
            .map_or(0, |view| view.reported_tokens + view.own_tokens)
    }
}

fn affinity(family: u64, server: &str) -> u64 {
    xxh3_64_with_seed(server.as_bytes(), family)
}
