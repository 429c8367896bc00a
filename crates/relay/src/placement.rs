//! Which backend server a request goes to.
//!
//! The estimate is the time that the request would wait and read there, with
//! what the choice costs besides (work done twice, bytes between failure
//! domains, answers on replaced weights) counted as time.

use std::net::SocketAddr;

use policy::Time;

use crate::affinity::Affinity;
use crate::affinity::Known;
use crate::holdings::PartKey;
use crate::holdings::Residency;
use crate::BackendServer;
use crate::Fleet;
use crate::PrefixStores;
use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;
use crate::Weights;
use crate::Workspace;

/// Time that each request in flight adds, in milliseconds.
const REQUEST_MS: f64 = 3.0;

/// Time that crossing into another failure domain counts as, in milliseconds.
const FAR_MS: f64 = 25.0;

/// Time that an answer on replaced weights counts as, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 600.0;

/// Time for which answers on replaced weights are as good as others, in
/// milliseconds after the new ones were named.
const OLD_WEIGHTS_GRACE_MS: u64 = 1_000;

/// Time without an answer from which a backend server counts as slower than its
/// load tells, in milliseconds.
const SILENT_MS: u64 = 300;

/// Time that each millisecond of silence beyond that counts as, in milliseconds.
const SILENCE_FACTOR: f64 = 4.0;

/// Time that each failure in a row counts as, in milliseconds, and the failures up to which it does.
const FAILURE_MS: f64 = 6.0;
const MAX_FAILURES: u32 = 10;

/// Requests at a backend server for each that it runs at once, beyond which it gets no more.
const MAX_WAITING: f64 = 2.0;

/// Time to read from which a prompt is long, in milliseconds: under overload
/// long prompts that are cached nowhere are refused before all others.
const LONG_READING_MS: f64 = 150.0;

/// Wait in an engine's queue up to which long prompts are taken, as a multiple
/// of the time within which their callers expect the first event.
const LONG_WAIT_OBJECTIVES: f64 = 1.5;

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
    /// Workspace of the caller.
    pub workspace: Option<&'a Workspace>,
}

/// A request that needs a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Time to its first event that the caller expects, in milliseconds.
    pub objective_ms: u64,
    /// When it must be answered.
    pub deadline: Time,
    /// Its model side, if the service runs models.
    pub prompt: Option<Prompt<'a>>,
    /// Backend servers that it was sent to before.
    pub tried: &'a [ServerKey],
    /// A number that differs from request to request, to break ties.
    pub seed: u64,
}

/// A backend server for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Backend server.
    pub server: ServerKey,
    /// Version of the weights that it is believed to have.
    pub weights: Option<u64>,
    /// Time that it is believed to need to read the prompt, in milliseconds.
    pub reading_ms: f64,
    /// Time that requests before it are believed to take, in milliseconds.
    pub wait_ms: f64,
    /// Whether it is believed to hold the large shared part.
    pub caches_prefix: bool,
    /// Engine from which it can take the part that it lacks.
    pub fetch_from: Option<PartSource>,
    /// What happens to that part at a store.
    pub transfer: Option<Transfer>,
    /// Key of the large shared part.
    pub shared_prefix: Option<PartKey>,
    /// Estimate of the choice with all that it costs, in milliseconds.
    pub cost_ms: f64,
}

/// From where an engine can take a part that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartSource {
    /// Another engine.
    Engine(ServerKey),
    /// The store of prompt parts.
    Store(SocketAddr),
}

impl PartSource {
    /// Returns a word for logs.
    pub fn kind(self) -> &'static str {
        match self {
            PartSource::Engine(_) => "engine",
            PartSource::Store(_) => "store",
        }
    }
}

impl Choice {
    /// Returns the store to which the engine sends the parts that it has read.
    pub fn save_to(&self) -> Option<SocketAddr> {
        let save = self.transfer.filter(|t| t.kind == TransferKind::Save);
        save.map(|save| save.store)
    }
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
    /// It would wait too long everywhere.
    TooLate {
        /// When the wait is expected to be short enough, in milliseconds.
        retry_after_ms: u64,
        /// Wait where it would have gone, in milliseconds.
        wait_ms: u64,
        /// Time to read its prompt there, in milliseconds.
        reading_ms: u64,
    },
}

impl Unplaceable {
    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Unplaceable::NoServer => RETRY_AFTER_MS.1,
            Unplaceable::NoneReady { retry_after_ms }
            | Unplaceable::Full { retry_after_ms }
            | Unplaceable::TooLate { retry_after_ms, .. } => retry_after_ms,
        }
    }

    /// Returns a word for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Unplaceable::NoServer => "no_server",
            Unplaceable::NoneReady { .. } => "none_ready",
            Unplaceable::Full { .. } => "full",
            Unplaceable::TooLate { .. } => "too_late",
        }
    }
}

type Candidate<'a> = (ServerKey, &'a BackendServer);

/// Chooses backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines hold which parts.
    pub residency: &'a Residency,
    /// Versions of weights that were named.
    pub weights: &'a Weights,
    /// Stores of prompt parts.
    pub stores: PrefixStores<'a>,
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Present time.
    pub now: Time,
}

impl Placement<'_> {
    /// Chooses a backend server for a request.
    pub fn choose(&self, ask: &PlacementRequest<'_>) -> Result<Choice, Unplaceable> {
        let untried: Vec<Candidate<'_>> = self
            .fleet
            .of_service(ask.service)
            .filter(|(key, server)| !ask.tried.contains(key) && serves_model(server, ask))
            .collect();
        if untried.is_empty() {
            return Err(Unplaceable::NoServer);
        }
        let ready: Vec<Candidate<'_>> = untried
            .iter()
            .filter(|(_, server)| self.is_usable(ask, server))
            .copied()
            .collect();
        if ready.is_empty() {
            let retry_after_ms = self.back_in_ms(&untried);
            return Err(Unplaceable::NoneReady { retry_after_ms });
        }
        let known = Known {
            fleet: self.fleet,
            residency: self.residency,
            stores: self.stores,
            now: self.now,
            ready: &ready,
        };
        let affinity = ask.prompt.as_ref().map(|p| Affinity::new(known, p));
        let open = ready.iter().filter(|(_, server)| self.has_room(server));
        let choices = open.map(|(key, server)| self.estimate(ask, *key, server, affinity.as_ref()));
        let best = choices.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let mut best = best.ok_or(Unplaceable::Full {
            retry_after_ms: RETRY_AFTER_MS.0 * 2,
        })?;
        self.check_wait(ask, &best)?;
        if let Some(affinity) = &affinity {
            affinity.equip(&mut best);
        }
        Ok(best)
    }

    /// Refuses what can't be answered in time, and long prompts whose reading
    /// would make all others wait.
    fn check_wait(&self, ask: &PlacementRequest<'_>, choice: &Choice) -> Result<(), Unplaceable> {
        let left_ms = ask.deadline.millis_since(self.now) as f64;
        let limit_ms = ask.objective_ms as f64 * LONG_WAIT_OBJECTIVES;
        let long = choice.reading_ms >= LONG_READING_MS && choice.wait_ms > limit_ms;
        let hopeless = choice.wait_ms + choice.reading_ms > left_ms && ask.prompt.is_some();
        if !(long || hopeless) {
            return Ok(());
        }
        let over_ms = (choice.wait_ms - limit_ms).max(0.0) as u64;
        let retry_after_ms = over_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
        Err(Unplaceable::TooLate {
            retry_after_ms,
            wait_ms: choice.wait_ms as u64,
            reading_ms: choice.reading_ms as u64,
        })
    }

    fn is_usable(&self, ask: &PlacementRequest<'_>, server: &BackendServer) -> bool {
        server.takes_requests(self.now) && !self.is_overdue(ask, server)
    }

    fn has_room(&self, server: &BackendServer) -> bool {
        let requests = f64::from(server.load(self.now).requests);
        requests < f64::from(server.registration.slots.max(1)) * MAX_WAITING
    }

    fn back_in_ms(&self, servers: &[Candidate<'_>]) -> u64 {
        let back = servers
            .iter()
            .map(|(_, server)| server.avoid_until.max(server.switching_until));
        let first = back.filter(|at| *at > self.now).min();
        let wait = first.map_or(RETRY_AFTER_MS.1, |at| at.millis_since(self.now));
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }

    fn estimate(
        &self,
        ask: &PlacementRequest<'_>,
        key: ServerKey,
        server: &BackendServer,
        affinity: Option<&Affinity<'_>>,
    ) -> Choice {
        let wait_ms = wait_ms(server, self.now);
        let mut choice = Choice {
            server: key,
            weights: None,
            reading_ms: 0.0,
            wait_ms,
            caches_prefix: false,
            fetch_from: None,
            transfer: None,
            shared_prefix: None,
            cost_ms: wait_ms + self.handicap_ms(ask, server),
        };
        if let (Some(prompt), Some(affinity)) = (&ask.prompt, affinity) {
            choice.weights = server.weights(prompt.model);
            affinity.judge(server, &mut choice);
            choice.cost_ms += choice.reading_ms + self.staleness_ms(prompt.model, choice.weights);
        }
        choice
    }

    /// Returns the time that all but waiting and reading counts as.
    fn handicap_ms(&self, ask: &PlacementRequest<'_>, server: &BackendServer) -> f64 {
        let failures = f64::from(server.failures.min(MAX_FAILURES));
        let silent = server.unresponsive_ms(self.now).saturating_sub(SILENT_MS);
        let far = if &*server.registration.domain == self.domain {
            0.0
        } else {
            FAR_MS
        };
        let tie = policy::rendezvous_weight(ask.seed, server.instance_hash) % 1_000;
        failures * FAILURE_MS + silent as f64 * SILENCE_FACTOR + far + tie as f64 / 1_000.0
    }

    fn staleness_ms(&self, model: &str, weights: Option<u64>) -> f64 {
        let replaced_at = weights.and_then(|version| self.weights.replaced_at(model, version));
        match replaced_at {
            Some(at) if self.now.millis_since(at) >= OLD_WEIGHTS_GRACE_MS => OLD_WEIGHTS_MS,
            _ => 0.0,
        }
    }

    fn is_overdue(&self, ask: &PlacementRequest<'_>, server: &BackendServer) -> bool {
        let Some(prompt) = &ask.prompt else {
            return false;
        };
        // What counts is when the request begins, after those before it.
        let begins_at = self.now.plus_millis(wait_ms(server, self.now) as u64);
        let version = server.weights(prompt.model);
        version.is_some_and(|version| self.weights.is_overdue(begins_at, prompt.model, version))
    }
}

/// Returns the time that a request waits for those before it, in milliseconds.
fn wait_ms(server: &BackendServer, now: Time) -> f64 {
    let load = server.load(now);
    load.reading_ms as f64 + f64::from(load.requests) * REQUEST_MS
}

fn serves_model(server: &BackendServer, ask: &PlacementRequest<'_>) -> bool {
    let Some(prompt) = &ask.prompt else {
        return true;
    };
    server.registration.weights.is_empty() || server.weights(prompt.model).is_some()
}
