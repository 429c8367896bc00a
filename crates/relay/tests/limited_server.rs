//! A backend server that limits the requests of all routers together, while callers want more than
//! it takes. The simulated routers ask each other for permits by messages that take some time or
//! get lost; some routers are killed and start again.

mod common;

use common::at;
use policy::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::Member;
use relay::Permit;
use relay::PermitIssuer;
use relay::RateLimit;
use relay::Topology;
use relay::Urgency;

/// Instance hash of the server, and its region.
const SERVER: u64 = 0x5eed;
const REGION: u64 = 2;

/// Number of regions.
const REGIONS: u64 = 3;

/// Time that a simulation lasts, and from which requests count, in milliseconds.
const FOR_MS: u64 = 30_000;
const FROM_MS: u64 = 4_000;

/// Window over which requests are summed up, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Interval of the messages by which routers know that others run, and the time without one after
/// which another router issues permits, in milliseconds.
const MESSAGE_MS: u64 = 250;
const SILENCE_MS: u64 = 900;

/// Longest time that a message takes to another router, in milliseconds.
const MAX_DELAY_MS: u64 = 17;

/// Time after which a router asks again if there was no response, in milliseconds.
const NO_RESPONSE_MS: u64 = 350;

/// Share of the limit that must be used while callers want twice as much.
const MIN_USE: f64 = 0.8;

/// What a simulation is made of.
#[derive(Clone, Copy)]
struct Load {
    routers: u64,
    limit: f64,
    /// Share of all callers that come to the first router.
    skew: f64,
    /// Share of the messages that get lost.
    loss: f64,
    /// Share of the routers that are killed each `KILL_MS`, for `down_ms`.
    killed: f64,
    down_ms: u64,
}

/// Seeds of each case.
const SEEDS: u64 = 2;

/// Interval of the kills, in milliseconds.
const KILL_MS: u64 = 7_000;

/// Returns the issuer of a router that has known the others since `at`.
fn issuer(at: Time) -> PermitIssuer {
    let mut issuer = PermitIssuer::default();
    issuer.begin(at);
    issuer
}

struct Router {
    topology: Topology,
    issuer: PermitIssuer,
    permit_at: Time,
    down_until: Time,
}

struct Simulation {
    load: Load,
    limit: RateLimit,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    /// When each router last sent a message.
    heard_at: Vec<Time>,
    /// Times in milliseconds at which requests reached the server.
    arrivals: Vec<u64>,
}

fn load(routers: u64, limit: f64) -> Load {
    Load {
        routers,
        limit,
        skew: 0.0,
        loss: 0.0,
        killed: 0.0,
        down_ms: 0,
    }
}

fn router(me: u64, routers: u64) -> Router {
    let member = |router: u64| Member {
        region: router % REGIONS,
        capacity: 1,
    };
    let mut topology = Topology::new(me, member(me));
    for other in 0..routers {
        topology.add(other, member(other));
    }
    Router {
        topology,
        issuer: issuer(at(0)),
        permit_at: at(0),
        down_until: at(0),
    }
}

fn simulate(load: Load, seed: u64) -> Vec<u64> {
    let mut simulation = Simulation {
        load,
        limit: RateLimit::per_second(load.limit).unwrap(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        routers: (0..load.routers)
            .map(|me| router(me, load.routers))
            .collect(),
        heard_at: vec![at(0); load.routers as usize],
        arrivals: Vec::new(),
    };
    for ms in 0..FOR_MS {
        simulation.step(ms);
    }
    simulation.arrivals.sort_unstable();
    simulation.arrivals
}

impl Simulation {
    fn step(&mut self, ms: u64) {
        if ms.is_multiple_of(MESSAGE_MS) {
            self.exchange_messages(ms);
        }
        if ms % KILL_MS == KILL_MS - 1 {
            self.kill(ms);
        }
        // Callers want three times what the server takes, at least four requests a second.
        let wanted = (self.load.limit * 3.0).max(4.0) / 1_000.0;
        for _ in 0..wanted.ceil() as u64 {
            if self.rng.random_bool((wanted / wanted.ceil()).min(1.0)) {
                let router = self.pick_router();
                self.request(router, ms);
            }
        }
    }

    fn pick_router(&mut self) -> usize {
        if self.rng.random_bool(self.load.skew) {
            return 0;
        }
        self.rng.random_range(0..self.routers.len())
    }

    fn is_up(&self, router: usize, ms: u64) -> bool {
        self.routers[router].down_until <= at(ms)
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.load.loss)
    }

    fn exchange_messages(&mut self, ms: u64) {
        for from in 0..self.routers.len() {
            if !self.is_up(from, ms) {
                continue;
            }
            self.heard_at[from] = at(ms);
            for to in &mut self.routers {
                to.topology.record_message(at(ms), from as u64);
            }
        }
    }

    fn kill(&mut self, ms: u64) {
        let down_until = at(ms + self.load.down_ms);
        for router in 0..self.routers.len() {
            if self.rng.random_bool(self.load.killed) {
                self.routers[router].down_until = down_until;
                self.routers[router].issuer = issuer(down_until);
            }
        }
    }

    /// Returns the router that one takes for the issuer.
    fn issuer_of(&mut self, router: usize, ms: u64) -> usize {
        let heard_at = &self.heard_at;
        let is_reachable = |hash: u64| at(ms).millis_since(heard_at[hash as usize]) < SILENCE_MS;
        let topology = &mut self.routers[router].topology;
        topology.permit_issuer(at(ms), REGION, SERVER, is_reachable) as usize
    }

    /// Serves a request of a caller at a router: asks for a permit unless it is known that none
    /// is due, and sends the request if it is granted.
    fn request(&mut self, router: usize, ms: u64) {
        if !self.is_up(router, ms) || self.routers[router].permit_at > at(ms) {
            return;
        }
        let there = self.rng.random_range(1..=MAX_DELAY_MS);
        let back = self.rng.random_range(1..=MAX_DELAY_MS);
        let issuer = self.issuer_of(router, ms);
        let is_lost = issuer != router && (self.is_lost() || !self.is_up(issuer, ms + there));
        let denies = self.issuer_of(issuer, ms) != issuer;
        let permit = if is_lost || denies {
            None
        } else {
            let limit = self.limit;
            let issuer = &mut self.routers[issuer].issuer;
            Some(issuer.ask(at(ms + there), SERVER, limit, Urgency::Normal))
        };
        let is_lost = issuer != router && self.is_lost();
        let now_ms = ms + there + back;
        match permit.filter(|_| !is_lost) {
            Some(Permit::Granted) => {
                let arrives = now_ms + self.rng.random_range(1..=MAX_DELAY_MS);
                self.arrivals.push(arrives);
            }
            Some(Permit::Denied { retry_after_ms }) => {
                self.routers[router].permit_at = at(now_ms + retry_after_ms);
            }
            None => self.routers[router].permit_at = at(now_ms + NO_RESPONSE_MS),
        }
    }
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let count = |end: &u64| {
        let within = |ms: &&u64| **ms <= *end && **ms + WINDOW_MS > *end;
        arrivals.iter().filter(within).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}

/// Returns the share of the limit that was used.
fn used(load: Load, arrivals: &[u64]) -> f64 {
    let counted = arrivals.iter().filter(|ms| **ms >= FROM_MS).count();
    let seconds = (FOR_MS - FROM_MS) as f64 / 1_000.0;
    counted as f64 / (load.limit * seconds)
}

fn check(load: Load, min_use: f64) {
    for seed in 0..SEEDS {
        let arrivals = simulate(load, seed);
        let allowed = (load.limit * 6.0) as usize + 5;
        let most = most_in_window(&arrivals);
        let used = used(load, &arrivals);
        let case = format!(
            "{} routers, limit {}, seed {seed}: {most} of {allowed} in a window, {used:.2} used",
            load.routers, load.limit
        );
        assert!(most <= allowed, "{case}");
        assert!(used >= min_use, "{case}");
    }
}

#[test]
fn any_number_of_routers_keeps_any_limit_and_uses_it_up() {
    for routers in [1, 9, 30, 300] {
        for limit in [0.2, 0.5, 3.0, 20.0, 100.0] {
            check(load(routers, limit), MIN_USE);
        }
    }
}

#[test]
fn a_limit_is_used_up_if_nearly_all_callers_come_to_one_router() {
    for routers in [9, 300] {
        for limit in [0.5, 3.0, 20.0] {
            let load = Load {
                skew: 0.95,
                ..load(routers, limit)
            };
            check(load, MIN_USE);
        }
    }
}

#[test]
fn lost_messages_waste_some_of_a_limit_and_never_exceed_it() {
    for routers in [9, 300] {
        for limit in [0.5, 3.0, 20.0] {
            let load = Load {
                loss: 0.05,
                ..load(routers, limit)
            };
            check(load, MIN_USE - 0.1);
        }
    }
}

#[test]
fn issuers_that_are_killed_and_start_again_never_exceed_a_limit() {
    for routers in [9, 30, 300] {
        for limit in [0.5, 3.0, 20.0] {
            for down_ms in [500, 2_500] {
                let load = Load {
                    killed: 0.35,
                    down_ms,
                    ..load(routers, limit)
                };
                check(load, 0.5);
            }
        }
    }
}

#[test]
fn a_router_that_has_just_started_issues_no_permits() {
    let limit = RateLimit::per_second(100.0).unwrap();
    let mut issuer = issuer(at(0));
    for ms in 0..1_500 {
        assert_ne!(
            issuer.ask(at(ms), SERVER, limit, Urgency::Urgent),
            Permit::Granted
        );
    }
}

#[test]
fn a_router_that_does_not_know_the_others_issues_no_permits() {
    let limit = RateLimit::per_second(100.0).unwrap();
    let mut issuer = PermitIssuer::default();
    for ms in (0..60_000).step_by(100) {
        assert_ne!(
            issuer.ask(at(ms), SERVER, limit, Urgency::Urgent),
            Permit::Granted
        );
    }
}

#[test]
fn a_limit_that_rises_takes_effect_at_once() {
    let low = RateLimit::per_second(0.1).unwrap();
    let high = RateLimit::per_second(10.0).unwrap();
    let mut issuer = issuer(at(0));
    for ms in (2_000..20_000).step_by(100) {
        issuer.ask(at(ms), SERVER, low, Urgency::Normal);
    }
    issuer.ask(at(20_000), SERVER, high, Urgency::Normal);
    let permit = issuer.ask(at(21_500), SERVER, high, Urgency::Normal);
    assert_eq!(permit, Permit::Granted);
}

#[test]
fn urgent_requests_go_first_but_not_without_bound() {
    let limit = RateLimit::per_second(1.0).unwrap();
    let mut issuer = issuer(at(0));
    issuer.ask(at(2_000), SERVER, limit, Urgency::Normal);
    let mut granted = 0;
    for ms in 4_000..8_000 {
        assert!(granted > 0 || ms < 4_001);
        let permit = issuer.ask(at(ms), SERVER, limit, Urgency::Urgent);
        granted += usize::from(permit == Permit::Granted);
    }
    assert!((4..=7).contains(&granted), "{granted}");
    let normal = issuer.ask(at(8_000), SERVER, limit, Urgency::Normal);
    assert_ne!(normal, Permit::Granted);
}
