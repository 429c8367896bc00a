//! A backend server that fails once it rejects more than some requests a second, while callers want
//! more than it can do. The simulated routers ask each other for places by messages that take some
//! time or get lost; some routers are killed and start again.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use common::at;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::Brittleness;
use relay::Permit;
use relay::PlaceEnd;
use relay::PlaceId;
use relay::PlaceIssuer;
use relay::PlaceRequest;

/// Instance hash of the server.
const SERVER: u64 = 0x5eed;

/// Requests that the server runs at a time, and the time that each takes, in milliseconds.
const SLOTS: u32 = 4;
const RUN_MS: u64 = 100;

/// Requests that may wait, and from when it is fewer, in milliseconds.
const ROOM: u32 = 4;
const LATER_ROOM: u32 = 1;
const LESS_ROOM_FROM_MS: u64 = 3_000;

/// Time for which the server is away after it fell over, in milliseconds.
const AWAY_MS: u64 = 3_000;

/// Time that a simulation lasts, in milliseconds.
const FOR_MS: u64 = 30_000;

/// Requests that callers want, as a multiple of what the server can do.
const DEMAND: f64 = 1.6;

/// Longest time that a message takes to another router, in milliseconds.
const MAX_DELAY_MS: u64 = 17;

/// Time after which a router asks again if there was no response, in milliseconds.
const NO_RESPONSE_MS: u64 = 350;

/// Time until the deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Interval of the kills of the issuer, in milliseconds.
const KILL_MS: u64 = 7_000;

/// Most falls that the operators allow one server.
const MAX_FALLS: usize = 2;

/// Share of the most possible that must be served.
const MIN_USE: f64 = 0.7;

/// Seeds of each case.
const SEEDS: u64 = 3;

#[derive(Clone, Copy, Debug)]
struct Load {
    routers: usize,
    /// Rejections a second that the server stands.
    rejections: u64,
    /// Share of the messages that get lost.
    loss: f64,
    /// Whether the issuer is killed each `KILL_MS`; another one takes its place.
    kills: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request to a router.
    Wanted,
    /// The router has a place, and the request reaches the server.
    Arrives(PlaceId),
    /// The server has run a request.
    Ran(PlaceId),
    /// The issuer learns that a request has ended.
    Released(PlaceId, bool),
    /// The server is back.
    Back,
}

#[derive(Default)]
struct Server {
    running: u32,
    waiting: VecDeque<PlaceId>,
    rejected_at: VecDeque<u64>,
    is_down: bool,
    served: usize,
    falls: usize,
}

struct Simulation {
    load: Load,
    rng: ChaCha8Rng,
    issuer: PlaceIssuer,
    issuer_router: u64,
    permit_at: Vec<u64>,
    server: Server,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
}

fn simulate(load: Load, seed: u64) -> (usize, f64) {
    let mut simulation = Simulation {
        load,
        rng: ChaCha8Rng::seed_from_u64(seed),
        issuer: PlaceIssuer::default(),
        issuer_router: 0,
        permit_at: vec![0; load.routers],
        server: Server::default(),
        events: BinaryHeap::new(),
        next: 0,
    };
    simulation.add(1, Event::Wanted);
    let mut killed_at = 0;
    while let Some(Reverse((ms, _, event))) = simulation.events.pop() {
        if ms >= FOR_MS {
            break;
        }
        if load.kills && ms / KILL_MS > killed_at {
            killed_at = ms / KILL_MS;
            simulation.issuer = PlaceIssuer::default();
            simulation.issuer_router = (simulation.issuer_router + 1) % load.routers as u64;
        }
        simulation.handle(ms, event);
    }
    let most = f64::from(SLOTS) * FOR_MS as f64 / RUN_MS as f64;
    let server = simulation.server;
    (server.falls, server.served as f64 / most)
}

impl Simulation {
    fn add(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((ms, self.next, event)));
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=MAX_DELAY_MS)
    }

    fn is_lost(&mut self, router: u64) -> bool {
        router != self.issuer_router && self.rng.random_bool(self.load.loss)
    }

    fn handle(&mut self, ms: u64, event: Event) {
        match event {
            Event::Wanted => {
                let interval = RUN_MS as f64 / f64::from(SLOTS) / DEMAND;
                let pause = self.rng.random_range(0.0..2.0 * interval) as u64;
                self.add(ms + pause.max(1), Event::Wanted);
                let router = self.rng.random_range(0..self.load.routers);
                self.request(ms, router);
            }
            Event::Arrives(id) => self.arrive(ms, id),
            Event::Ran(id) => self.end(ms, id),
            Event::Released(id, rejected) => {
                let end = if rejected {
                    PlaceEnd::Rejected
                } else {
                    PlaceEnd::Taken
                };
                self.issuer.release(at(ms), SERVER, id, end);
            }
            Event::Back => {
                let (served, falls) = (self.server.served, self.server.falls);
                self.server = Server {
                    served,
                    falls,
                    ..Server::default()
                };
            }
        }
    }

    fn request(&mut self, ms: u64, router: usize) {
        if self.permit_at[router] > ms {
            return;
        }
        let own = router as u64;
        let (there, back) = if own == self.issuer_router {
            (0, 0)
        } else {
            (self.delay(), self.delay())
        };
        let on = self.delay();
        self.next += 1;
        let id = PlaceId {
            router: own,
            request: self.next,
        };
        let request = PlaceRequest {
            id,
            slots: SLOTS,
            brittleness: Brittleness::per_second(self.load.rejections),
            reported: self.server.running + self.server.waiting.len() as u32,
            until: at(ms + DEADLINE_MS),
        };
        if self.is_lost(own) {
            self.permit_at[router] = ms + NO_RESPONSE_MS;
            return;
        }
        let permit = self.issuer.ask(at(ms + there), SERVER, request);
        if self.is_lost(own) {
            self.permit_at[router] = ms + NO_RESPONSE_MS;
            self.release(ms + NO_RESPONSE_MS, id, false);
            return;
        }
        match permit {
            Permit::Granted => self.add(ms + there + back + on, Event::Arrives(id)),
            Permit::Denied { retry_after_ms } => {
                self.permit_at[router] = ms + there + back + retry_after_ms;
            }
        }
    }

    fn release(&mut self, ms: u64, id: PlaceId, rejected: bool) {
        // It is sent twice.
        if !(self.is_lost(id.router) && self.is_lost(id.router)) {
            let to_router = self.delay();
            let to_issuer = if id.router == self.issuer_router {
                0
            } else {
                self.delay()
            };
            self.add(ms + to_router + to_issuer, Event::Released(id, rejected));
        }
    }

    fn arrive(&mut self, ms: u64, id: PlaceId) {
        let room = if ms < LESS_ROOM_FROM_MS {
            ROOM
        } else {
            LATER_ROOM
        };
        if self.server.is_down {
            self.release(ms, id, false);
        } else if self.server.running < SLOTS {
            self.server.running += 1;
            self.add(ms + RUN_MS, Event::Ran(id));
        } else if (self.server.waiting.len() as u32) < room {
            self.server.waiting.push_back(id);
        } else {
            self.release(ms, id, true);
            self.reject(ms);
        }
    }

    fn reject(&mut self, ms: u64) {
        let rejected_at = &mut self.server.rejected_at;
        rejected_at.push_back(ms);
        rejected_at.retain(|at| at + 1_000 > ms);
        if rejected_at.len() as u64 > self.load.rejections {
            self.server.falls += 1;
            self.server.is_down = true;
            self.add(ms + AWAY_MS, Event::Back);
        }
    }

    fn end(&mut self, ms: u64, id: PlaceId) {
        self.release(ms, id, false);
        if self.server.is_down || self.server.running == 0 {
            return;
        }
        self.server.served += 1;
        self.server.running -= 1;
        if let Some(next) = self.server.waiting.pop_front() {
            self.server.running += 1;
            self.add(ms + RUN_MS, Event::Ran(next));
        }
    }
}

fn check(load: Load, min_use: f64) {
    for seed in 0..SEEDS {
        let (falls, used) = simulate(load, seed);
        let case = format!("{load:?}, seed {seed}: {falls} falls, {used:.2} used");
        assert!(falls <= MAX_FALLS, "{case}");
        assert!(used >= min_use, "{case}");
    }
}

fn load(routers: usize, rejections: u64) -> Load {
    Load {
        routers,
        rejections,
        loss: 0.0,
        kills: false,
    }
}

// Guards against LIMIT: brittle servers fall over as routers together send more than they have room for.
#[test]
fn any_number_of_routers_spares_a_brittle_server_and_uses_it_up() {
    for routers in [1, 9, 30, 300] {
        for rejections in [1, 4, 20] {
            check(load(routers, rejections), MIN_USE);
        }
    }
}

#[test]
fn a_server_that_stands_no_rejection_is_spared_and_used_up() {
    for routers in [1, 9, 30, 300] {
        check(load(routers, 0), MIN_USE);
    }
}

#[test]
fn a_server_that_stands_no_rejection_is_spared_while_messages_get_lost() {
    for routers in [9, 300] {
        let load = Load {
            loss: 0.05,
            ..load(routers, 0)
        };
        check(load, MIN_USE - 0.2);
    }
}

#[test]
fn a_server_that_stands_no_rejection_is_spared_while_issuers_are_killed() {
    for routers in [9, 30, 300] {
        let load = Load {
            kills: true,
            ..load(routers, 0)
        };
        check(load, MIN_USE - 0.1);
    }
}

#[test]
fn lost_messages_waste_some_of_a_brittle_server_and_never_make_it_fall_often() {
    for routers in [9, 300] {
        for rejections in [1, 4] {
            let load = Load {
                loss: 0.05,
                ..load(routers, rejections)
            };
            check(load, MIN_USE - 0.2);
        }
    }
}

#[test]
fn issuers_that_are_killed_do_not_make_a_brittle_server_fall_often() {
    for routers in [9, 30, 300] {
        for rejections in [1, 4] {
            let load = Load {
                kills: true,
                ..load(routers, rejections)
            };
            check(load, MIN_USE - 0.1);
        }
    }
}

#[test]
fn a_server_that_rejects_gets_fewer_requests_at_once_and_more_again_later() {
    let mut issuer = PlaceIssuer::default();
    let request = |number| PlaceRequest {
        id: PlaceId {
            router: 1,
            request: number,
        },
        slots: 10,
        brittleness: Brittleness::per_second(2),
        reported: 0,
        until: at(60_000),
    };
    let granted = |issuer: &mut PlaceIssuer, ms, from: u64| {
        (from..from + 20)
            .filter(|number| issuer.ask(at(ms), SERVER, request(*number)) == Permit::Granted)
            .count()
    };

    let first = granted(&mut issuer, 0, 0);
    issuer.release(at(10), SERVER, request(0).id, PlaceEnd::Rejected);
    for number in 1..10 {
        issuer.release(at(20), SERVER, request(number).id, PlaceEnd::Taken);
    }
    let after = granted(&mut issuer, 30, 100);
    for number in 100..120 {
        issuer.release(at(40), SERVER, request(number).id, PlaceEnd::Taken);
    }
    let later = granted(&mut issuer, 10_000, 200);

    assert_eq!((first, after), (10, 8));
    assert!(later > after);
}
