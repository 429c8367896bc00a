//! Chooses the backend server for a request.
//!
//! Candidates are compared by estimated time: the wait and the prefill, plus other costs
//! expressed as time (duplicated work, bytes between failure domains, responses
//! computed with replaced weights).

use std::net::SocketAddr;

use policy::PromptPart;
use policy::Time;

use crate::affinity::Affinity;
use crate::affinity::PlacementState;
use crate::residency::PartKey;
use crate::residency::Residency;
use crate::unplaceable::RETRY_AFTER_RANGE_MS;
use crate::BackendServer;
use crate::Build;
use crate::CachePartition;
use crate::Fleet;
use crate::PrefixStores;
use crate::ServerKey;
use crate::StreamBuild;
use crate::Transfer;
use crate::TransferKind;
use crate::Unplaceable;
use crate::Weights;

/// Time by which each request in flight delays the next, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 3.0;

/// Cost of sending a request into another failure domain, in milliseconds.
const CROSS_DOMAIN_COST_MS: f64 = 25.0;

/// Cost of a backend server that limits its requests, in milliseconds: its room is kept for what
/// no other can do as well.
const LIMITED_COST_MS: f64 = 50.0;

/// Cost of a server of whose room this router's part is used up, where the room of servers is limited, in
/// milliseconds: other routers send requests there too.
const USED_PART_COST_MS: f64 = 60.0;

/// Time after a limit was last named from which its server costs no more, in milliseconds: only a
/// response says that the limit has ended.
const LIMIT_CHECKED_MS: u64 = 2_000;

/// Cost of a response computed with replaced weights, in milliseconds.
const REPLACED_WEIGHTS_COST_MS: f64 = 600.0;

/// Time after the announcement of new weights during which responses computed with the
/// replaced ones cost nothing, in milliseconds.
const REPLACED_WEIGHTS_GRACE_MS: u64 = 1_000;

/// Time without a response from which a backend server costs more than its load, in
/// milliseconds.
const UNRESPONSIVE_MS: u64 = 300;

/// Cost of each millisecond without a response beyond that, in milliseconds.
const UNRESPONSIVE_COST_FACTOR: f64 = 4.0;

/// Cost of each consecutive failure, in milliseconds, and the number of failures up to which
/// the cost grows.
const FAILURE_COST_MS: f64 = 6.0;
const MAX_COUNTED_FAILURES: u32 = 10;

/// Requests in flight, as a multiple of its slots, from which a backend server gets no more.
const MAX_REQUESTS_PER_SLOT: f64 = 2.0;

/// Cost up to which candidates count as equal where the room of servers is limited, in milliseconds, so that
/// routers with the same reports don't all choose the same server.
const SPREAD_COST_MS: f64 = 15.0;

/// Prefill time from which a prompt is long, in milliseconds. Under overload long prompts
/// that aren't cached anywhere are refused first.
const LONG_PREFILL_MS: f64 = 150.0;

/// Wait in an engine's queue up to which long prompts are accepted, as a multiple of the
/// route's latency objective.
const LONG_PREFILL_WAIT_OBJECTIVES: f64 = 1.5;

/// Part of the time that servers have asked for over which the return of callers is spread.
const RETRY_SPREAD_DIVISOR: u64 = 4;

/// Requests of a limited server over whose time the return of callers is spread, and the longest
/// such time in milliseconds.
const LIMITED_RETURN_TURNS: u64 = 4;
const MAX_LIMITED_SPREAD_MS: u64 = 2_000;

/// A prompt with its model.
#[derive(Clone, Debug)]
pub struct Prompt<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Parts in the order of the text. The last one isn't shared with other requests.
    pub parts: &'a [PromptPart],
    /// Requests with which it shares cached parts.
    pub partition: CachePartition,
}

/// A request that needs a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Latency objective of the route, in milliseconds.
    pub objective_ms: u64,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// The prompt, if the service runs models.
    pub prompt: Option<Prompt<'a>>,
    /// Where the request's stream may go on, if the response is one.
    pub stream_build: StreamBuild,
    /// Backend servers that the request was dispatched to before.
    pub tried: &'a [ServerKey],
    /// Number that differs from request to request; breaks ties between equal candidates.
    pub seed: u64,
}

/// A backend server considered or chosen for a request, with its estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Backend server.
    pub server: ServerKey,
    /// Version of the backend server's software.
    pub build: Build,
    /// Version of the weights that the backend server is expected to have.
    pub weights: Option<u64>,
    /// Estimated prefill time of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Estimated wait for the requests ahead of this one, in milliseconds.
    pub wait_ms: f64,
    /// Whether the backend server is expected to cache the shared prefix.
    pub caches_prefix: bool,
    /// Where the backend server can get the shared prefix from if it doesn't cache it.
    pub fetch_from: Option<PartSource>,
    /// Transfer of the shared prefix to or from a prefix store, if any.
    pub transfer: Option<Transfer>,
    /// Key of the shared prefix, if the prompt has one.
    pub shared_prefix: Option<PartKey>,
    /// Pace of the backend server, which the estimates contain as a factor.
    pub pace: f64,
    /// Estimated total cost of the choice, in milliseconds; the lowest is chosen.
    pub cost_ms: f64,
}

/// Source of a shared prefix for an engine that doesn't cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartSource {
    /// Another engine.
    Engine(ServerKey),
    /// A prefix store, by its address.
    Store(SocketAddr),
}

impl PartSource {
    /// Returns the kind of source for log lines.
    pub fn kind(self) -> &'static str {
        match self {
            PartSource::Engine(_) => "engine",
            PartSource::Store(_) => "store",
        }
    }
}

impl Choice {
    /// Returns the estimated prefill time at an engine of usual pace, in milliseconds.
    pub fn nominal_prefill_ms(&self) -> f64 {
        self.prefill_ms / self.pace
    }

    /// Returns the estimated wait and prefill at an engine of usual pace, in milliseconds.
    pub fn nominal_ms(&self) -> f64 {
        (self.wait_ms + self.prefill_ms) / self.pace
    }

    /// Returns the prefix store to which the engine saves the prompt's parts after prefill,
    /// if any.
    pub fn save_to(&self) -> Option<SocketAddr> {
        let save = self.transfer.filter(|t| t.kind == TransferKind::Save);
        save.map(|save| save.store)
    }
}

/// A backend server that may be chosen, with its key.
type Candidate<'a> = (ServerKey, &'a BackendServer);

/// Chooses backend servers from the state of the cluster at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Backend servers.
    pub fleet: &'a Fleet,
    /// Which engines cache which parts.
    pub residency: &'a Residency,
    /// Announced versions of weights.
    pub weights: &'a Weights,
    /// Prefix stores.
    pub stores: PrefixStores<'a>,
    /// Whether the room of servers is limited for each router, and near-equal choices are spread.
    pub limits_room: bool,
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Current time.
    pub now: Time,
}

impl Placement<'_> {
    /// Chooses the backend server with the lowest estimated cost for a request.
    pub fn choose(&self, request: &PlacementRequest<'_>) -> Result<Choice, Unplaceable> {
        let untried: Vec<Candidate<'_>> = self
            .fleet
            .of_service(request.service)
            .filter(|(key, server)| !request.tried.contains(key) && self.may_serve(server, request))
            .collect();
        if untried.is_empty() {
            return Err(Unplaceable::NoServer);
        }
        let ready: Vec<Candidate<'_>> = untried
            .iter()
            .filter(|(_, server)| self.is_usable(request, server))
            .copied()
            .collect();
        if ready.is_empty() {
            let retry_after_ms = self.first_ready_in_ms(request, &untried);
            return Err(Unplaceable::NoneReady { retry_after_ms });
        }
        let state = PlacementState {
            fleet: self.fleet,
            residency: self.residency,
            stores: self.stores,
            now: self.now,
            ready: &ready,
        };
        let affinity = request.prompt.as_ref().map(|p| Affinity::new(state, p));
        let with_capacity = ready.iter().filter(|(_, server)| self.has_capacity(server));
        let choices = with_capacity
            .map(|(key, server)| self.estimate(request, *key, server, affinity.as_ref()));
        let best = choices.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let mut best = best.ok_or(Unplaceable::Full {
            retry_after_ms: RETRY_AFTER_RANGE_MS.0 * 2,
        })?;
        self.check_wait(request, &best)?;
        if let Some(affinity) = &affinity {
            affinity.plan_transfer(&mut best);
        }
        Ok(best)
    }

    /// Refuses a request that can't be answered by its deadline, and a long prompt whose
    /// prefill would delay all other requests of a busy engine. A stream that goes on is admitted
    /// there before those that wait.
    fn check_wait(
        &self,
        request: &PlacementRequest<'_>,
        choice: &Choice,
    ) -> Result<(), Unplaceable> {
        let left_ms = request.deadline.millis_since(self.now) as f64;
        let limit_ms = request.objective_ms as f64 * LONG_PREFILL_WAIT_OBJECTIVES;
        let goes_on = request.stream_build.is_bound();
        let delays_others = choice.prefill_ms >= LONG_PREFILL_MS && choice.wait_ms > limit_ms;
        let wait_ms = if goes_on { 0.0 } else { choice.wait_ms };
        let misses_deadline = wait_ms + choice.prefill_ms > left_ms && request.prompt.is_some();
        let is_refused = misses_deadline || delays_others && !goes_on;
        if !is_refused {
            return Ok(());
        }
        let over_ms = (choice.wait_ms - limit_ms).max(0.0) as u64;
        let retry_after_ms = over_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        Err(Unplaceable::TooLate {
            retry_after_ms,
            wait_ms: choice.wait_ms as u64,
            reading_ms: choice.prefill_ms as u64,
        })
    }

    fn has_capacity(&self, server: &BackendServer) -> bool {
        let requests = f64::from(server.load(self.now).requests);
        let slots = f64::from(server.registration.slots.max(1));
        let is_full_before_order =
            self.limits_room && self.weights.is_outdated(server) && requests >= slots;
        let has_room = match self.limits_room {
            true => server.room.is_open(),
            false => requests < slots * MAX_REQUESTS_PER_SLOT,
        };
        has_room && !is_full_before_order
    }

    /// Returns the time after which a caller should retry, in milliseconds. If the servers have
    /// asked for no requests until then, or limit them, callers are spread over the time after it.
    fn first_ready_in_ms(&self, request: &PlacementRequest<'_>, servers: &[Candidate<'_>]) -> u64 {
        let servers = servers.iter().map(|(_, server)| server);
        let waiting = servers.filter(|server| server.is_ready() && server.ready_at() > self.now);
        let Some(first) = waiting.min_by_key(|server| server.ready_at()) else {
            return RETRY_AFTER_RANGE_MS.1;
        };
        let wait_ms = first.ready_at().millis_since(self.now);
        if first.retry_at.max(first.permit_at) < first.ready_at() {
            return wait_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        }
        let turns_ms = first.limit().map_or(0, |limit| {
            limit.interval_us() * LIMITED_RETURN_TURNS / 1_000
        });
        let spread_ms = (wait_ms / RETRY_SPREAD_DIVISOR)
            .max(RETRY_AFTER_RANGE_MS.0)
            .max(turns_ms.min(MAX_LIMITED_SPREAD_MS));
        wait_ms + request.seed % spread_ms
    }

    fn estimate(
        &self,
        request: &PlacementRequest<'_>,
        key: ServerKey,
        server: &BackendServer,
        affinity: Option<&Affinity<'_>>,
    ) -> Choice {
        let wait_ms = wait_ms(server, self.now);
        let mut choice = Choice {
            server: key,
            build: server.build,
            weights: None,
            prefill_ms: 0.0,
            wait_ms,
            caches_prefix: false,
            fetch_from: None,
            transfer: None,
            shared_prefix: None,
            pace: server.pace(self.now),
            cost_ms: wait_ms + self.penalty_ms(request, server) + server.pace_cost_ms(self.now),
        };
        if let (Some(prompt), Some(affinity)) = (&request.prompt, affinity) {
            choice.weights = server.weights(prompt.model);
            affinity.estimate(server, &mut choice);
            choice.prefill_ms *= choice.pace;
            choice.cost_ms +=
                choice.prefill_ms + self.replaced_weights_cost_ms(prompt.model, choice.weights);
        }
        choice
    }

    /// Returns the cost of failures, missing responses, limits and crossing failure domains, in
    /// milliseconds, plus a random part that breaks ties.
    fn penalty_ms(&self, request: &PlacementRequest<'_>, server: &BackendServer) -> f64 {
        let failures = f64::from(server.failures.min(MAX_COUNTED_FAILURES));
        let unresponsive_ms = server
            .unresponsive_ms(self.now)
            .saturating_sub(UNRESPONSIVE_MS);
        let cross_domain = if &*server.registration.domain == self.domain {
            0.0
        } else {
            CROSS_DOMAIN_COST_MS
        };
        let limited = match server.limit_age_ms(self.now) {
            Some(age_ms) if age_ms < LIMIT_CHECKED_MS => LIMITED_COST_MS,
            _ => 0.0,
        };
        let (spread_ms, used_part) = match self.limits_room {
            false => (1.0, 0.0),
            true if server.room.has_part() => (SPREAD_COST_MS, 0.0),
            true => (SPREAD_COST_MS, USED_PART_COST_MS),
        };
        let tie_breaker = policy::rendezvous_weight(request.seed, server.instance_hash) % 1_000;
        failures * FAILURE_COST_MS
            + unresponsive_ms as f64 * UNRESPONSIVE_COST_FACTOR
            + cross_domain
            + limited
            + used_part
            + tie_breaker as f64 / 1_000.0 * spread_ms
    }

    fn replaced_weights_cost_ms(&self, model: &str, weights: Option<u64>) -> f64 {
        let replaced_by = weights.and_then(|version| self.weights.replaced_by(model, version));
        match replaced_by {
            Some(at) if self.now.millis_since(at) >= REPLACED_WEIGHTS_GRACE_MS => {
                REPLACED_WEIGHTS_COST_MS
            }
            _ => 0.0,
        }
    }
}

/// Returns the estimated wait for the requests in flight at a backend server, in milliseconds.
pub(crate) fn wait_ms(server: &BackendServer, now: Time) -> f64 {
    let load = server.load(now);
    let nominal_ms = load.prefill_ms as f64 + f64::from(load.requests) * QUEUED_REQUEST_MS;
    nominal_ms * server.pace(now)
}
