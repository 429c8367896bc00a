//! Which backend server a request goes to.
//!
//! The estimate is the time that the request would wait and read there, with
//! what the choice costs besides (work done twice, bytes between failure
//! domains, answers on replaced weights) counted as time.

use policy::Time;

use crate::holdings::Holder;
use crate::holdings::Holdings;
use crate::holdings::PartKey;
use crate::BackendServer;
use crate::Fleet;
use crate::RouteKind;
use crate::ServerKey;
use crate::Weights;

/// Prompt tokens that an engine reads in a millisecond, roughly.
const TOKENS_PER_MS: f64 = 50.0;

/// Time that each request in flight adds, in milliseconds.
const REQUEST_MS: f64 = 3.0;

/// Size from which a part is worth going where it is held, in tokens.
const ANCHOR_TOKENS: u32 = 1_000;

/// Time that each token of a small shared part counts as which is read again, in
/// milliseconds, and the tokens up to which it does.
const SMALL_MISS_MS_PER_TOKEN: f64 = 1.0;
const MAX_SMALL_TOKENS: u32 = 150;

/// Time that a second copy of a held part counts as, in milliseconds, beside
/// the time to read it: it pushes other parts out of the engine's memory.
const SECOND_COPY_MS: f64 = 400.0;

/// Time without an answer from which a backend server counts as slower than its
/// load tells, in milliseconds.
const SILENT_MS: u64 = 300;

/// Time that each millisecond of silence beyond that counts as, in milliseconds.
const SILENCE_FACTOR: f64 = 4.0;

/// Time that crossing into another failure domain counts as, in milliseconds.
const FAR_MS: f64 = 25.0;

/// Time that an answer on replaced weights counts as, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 600.0;

/// Time for which answers on replaced weights are as good as others, in
/// milliseconds after the new ones were named.
const OLD_WEIGHTS_GRACE_MS: u64 = 1_000;

/// Time that being further down in the order of homes counts as, in milliseconds.
const RANK_MS: f64 = 200.0;

/// Requests at a backend server for each that it runs at once, beyond which it gets no more.
const MAX_WAITING: f64 = 2.0;

/// Least and greatest wait that callers are told, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (150, 800);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of its text.
    pub id: u64,
    /// Tokens in it.
    pub tokens: u32,
}

/// The model side of a request.
#[derive(Clone, Debug)]
pub struct Prompt<'a> {
    /// Model that runs it.
    pub model: &'a str,
    /// Parts in their order; the last is the request's own.
    pub parts: &'a [PromptPart],
    /// Name of the isolated workspace whose parts are not shared.
    pub isolated: Option<&'a crate::Workspace>,
}

/// A request that needs a backend server.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Its model side, if the service runs models.
    pub prompt: Option<Prompt<'a>>,
    /// Backend servers that it was sent to before.
    pub tried: &'a [ServerKey],
    /// A number that differs from request to request, to break ties.
    pub seed: u64,
}

/// A backend server for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Backend server.
    pub server: ServerKey,
    /// Version of the weights that it is believed to have.
    pub weights: Option<u64>,
    /// Tokens that it is believed to have to read.
    pub tokens: u64,
    /// Whether it is believed to hold the large shared part.
    pub held: bool,
    /// Engine from which it can take the part that it lacks.
    pub fetch_from: Option<ServerKey>,
    /// Scope and key of the large shared part.
    pub anchor: Option<PartKey>,
    /// Estimate of the choice, in milliseconds.
    pub estimate_ms: u64,
}

/// Why no backend server takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaceable {
    /// None is registered that the request has not been to.
    NoServer,
    /// All are leaving, are being avoided, or take new weights.
    NoneReady {
        /// When one is expected back, in milliseconds.
        retry_after_ms: u64,
    },
    /// All have as many requests as they can take.
    Full {
        /// When a place is expected, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Unplaceable {
    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Unplaceable::NoServer => RETRY_AFTER_MS.1,
            Unplaceable::NoneReady { retry_after_ms } | Unplaceable::Full { retry_after_ms } => {
                retry_after_ms
            }
        }
    }

    /// Returns a word for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Unplaceable::NoServer => "no_server",
            Unplaceable::NoneReady { .. } => "none_ready",
            Unplaceable::Full { .. } => "full",
        }
    }
}

/// Chooses backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines hold which parts.
    pub holdings: &'a Holdings,
    /// Versions of weights that were named.
    pub weights: &'a Weights,
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Present time.
    pub now: Time,
}

impl Placement<'_> {
    /// Chooses a backend server for a request.
    pub fn choose(&self, ask: &Ask<'_>) -> Result<Choice, Unplaceable> {
        let untried = self
            .fleet
            .of_service(ask.service)
            .filter(|(key, server)| !ask.tried.contains(key) && serves_model(server, ask));
        let untried: Vec<_> = untried.collect();
        if untried.is_empty() {
            return Err(Unplaceable::NoServer);
        }
        let ready = untried
            .iter()
            .filter(|(_, server)| server.takes_requests(self.now) && !self.is_overdue(ask, server));
        let ready: Vec<_> = ready.copied().collect();
        if ready.is_empty() {
            let retry_after_ms = self.back_in_ms(&untried);
            return Err(Unplaceable::NoneReady { retry_after_ms });
        }
        let open = ready.iter().filter(|(_, server)| self.has_room(server));
        let choices = open.map(|(key, server)| self.estimate(ask, *key, server, &ready));
        let best = choices.min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((ms, choice)) => Ok(Choice {
                estimate_ms: ms.max(0.0) as u64,
                ..choice
            }),
            None => Err(Unplaceable::Full {
                retry_after_ms: RETRY_AFTER_MS.0 * 2,
            }),
        }
    }

    fn has_room(&self, server: &BackendServer) -> bool {
        let requests = f64::from(server.load(self.now).requests);
        requests < f64::from(server.entry.slots.max(1)) * MAX_WAITING
    }

    fn back_in_ms(&self, servers: &[(ServerKey, &BackendServer)]) -> u64 {
        let back = servers
            .iter()
            .map(|(_, server)| server.avoid_until.max(server.switching_until));
        let first = back.filter(|at| *at > self.now).min();
        let wait = first.map_or(RETRY_AFTER_MS.1, |at| at.millis_since(self.now));
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }

    fn estimate(
        &self,
        ask: &Ask<'_>,
        key: ServerKey,
        server: &BackendServer,
        ready: &[(ServerKey, &BackendServer)],
    ) -> (f64, Choice) {
        let load = server.load(self.now);
        let mut ms = load.tokens as f64 / TOKENS_PER_MS + f64::from(load.requests) * REQUEST_MS;
        ms += f64::from(server.failures.min(10)) * REQUEST_MS * 2.0;
        let silent = server.silent_ms(self.now).saturating_sub(SILENT_MS);
        ms += silent as f64 * SILENCE_FACTOR;
        if &*server.entry.domain != self.domain {
            ms += FAR_MS;
        }
        let jitter = policy::rendezvous_weight(ask.seed, server.mark) % 1_000;
        ms += jitter as f64 / 1_000.0;
        let mut choice = Choice {
            server: key,
            weights: None,
            tokens: 0,
            held: false,
            fetch_from: None,
            anchor: None,
            estimate_ms: 0,
        };
        if let Some(prompt) = &ask.prompt {
            ms += self.reading(prompt, server, ready, &mut choice);
            ms += self.staleness(prompt.model, choice.weights);
        }
        (ms, choice)
    }

    /// Returns the time that reading a prompt counts as.
    fn reading(
        &self,
        prompt: &Prompt<'_>,
        server: &BackendServer,
        ready: &[(ServerKey, &BackendServer)],
        choice: &mut Choice,
    ) -> f64 {
        choice.weights = server.weights(prompt.model);
        let all: u64 = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        choice.tokens = all;
        let shared = prompt.parts.split_last().map(|(_, shared)| shared);
        let (Some(shared), Some(weights)) = (shared, choice.weights) else {
            return all as f64 / TOKENS_PER_MS;
        };
        let scope = crate::cache_scope(weights, prompt.isolated);
        let anchor = shared.iter().find(|part| part.tokens >= ANCHOR_TOKENS);
        let Some(anchor) = anchor else {
            let read = all as f64 / TOKENS_PER_MS;
            return read + self.small_parts(prompt.model, shared, server, ready);
        };
        let part = PartKey::new(prompt.model, &scope, anchor.id);
        choice.anchor = Some(part);
        let own = (all - u64::from(anchor.tokens)) as f64 / TOKENS_PER_MS;
        let read = f64::from(anchor.tokens) / TOKENS_PER_MS;
        let holders = self.holdings.holders(part);
        let held = holders.iter().any(|holder| holder.server == choice.server);
        choice.fetch_from = self
            .holder_elsewhere(holders, choice.server)
            .or_else(|| self.next_home(part, choice.server, server, ready));
        choice.held = held;
        if held {
            choice.tokens = all - u64::from(anchor.tokens);
            return own;
        }
        if holders.is_empty() {
            let away = self.rank(part, server, ready) as f64 * RANK_MS;
            return own + read + away;
        }
        own + read + SECOND_COPY_MS
    }

    /// Returns the time that going elsewhere than to the home of small shared
    /// parts counts as. Their home is that of the innermost, which has the others too.
    fn small_parts(
        &self,
        model: &str,
        shared: &[PromptPart],
        server: &BackendServer,
        ready: &[(ServerKey, &BackendServer)],
    ) -> f64 {
        let Some(innermost) = shared.last() else {
            return 0.0;
        };
        let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        let part = PartKey::new(model, "", innermost.id);
        if self.rank(part, server, ready) == 0 {
            return 0.0;
        }
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
        ready: &[(ServerKey, &BackendServer)],
    ) -> Option<ServerKey> {
        let version = &server.entry.weights;
        let others = ready
            .iter()
            .filter(|(key, other)| *key != besides && &other.entry.weights == version);
        others
            .max_by_key(|(_, other)| policy::rendezvous_weight(part.0, other.mark))
            .map(|(key, _)| *key)
    }

    fn can_give(&self, key: ServerKey) -> bool {
        self.fleet
            .get(key)
            .is_some_and(|server| server.silent_ms(self.now) < SILENT_MS)
    }

    /// Returns how many ready backend servers come before `server` as home of a part.
    fn rank(
        &self,
        part: PartKey,
        server: &BackendServer,
        ready: &[(ServerKey, &BackendServer)],
    ) -> usize {
        let weight = policy::rendezvous_weight(part.0, server.mark);
        let before = ready
            .iter()
            .filter(|(_, other)| policy::rendezvous_weight(part.0, other.mark) > weight);
        before.count().min(4)
    }

    fn staleness(&self, model: &str, weights: Option<u64>) -> f64 {
        let replaced_at = weights.and_then(|version| self.weights.replaced_at(model, version));
        match replaced_at {
            Some(at) if self.now.millis_since(at) >= OLD_WEIGHTS_GRACE_MS => OLD_WEIGHTS_MS,
            _ => 0.0,
        }
    }

    fn is_overdue(&self, ask: &Ask<'_>, server: &BackendServer) -> bool {
        let Some(prompt) = &ask.prompt else {
            return false;
        };
        let version = server.weights(prompt.model);
        version.is_some_and(|version| self.weights.is_overdue(self.now, prompt.model, version))
    }
}

fn serves_model(server: &BackendServer, ask: &Ask<'_>) -> bool {
    let Some(prompt) = &ask.prompt else {
        return true;
    };
    server.entry.weights.is_empty() || server.weights(prompt.model).is_some()
}
