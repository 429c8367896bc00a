//! Routers that place requests on simulated servers and share what they learn by messages some
//! hundred milliseconds old. No network; the seed decides everything.
#![allow(dead_code)]

pub mod server;

use std::collections::BTreeMap;

use policy::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::AttemptTiming;
use relay::Choice;
use relay::Fleet;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStores;
use relay::Residency;
use relay::ServerKey;

use crate::common::at;
use crate::common::no_weights;
use crate::common::part;
use crate::common::registration;
use crate::common::request;
use server::Job;
use server::Progress;
use server::Server;

/// Tokens that an answer has.
const ANSWER_TOKENS: std::ops::Range<u32> = 20..60;

/// Lengths of prompts and how many of ten requests have the longer one.
const SHORT_TOKENS: u32 = 400;
const LONG_TOKENS: u32 = 3_700;
const LONG_OF_TEN: u32 = 1;

/// Sessions, whose requests begin with the same instructions and have a history of their own.
const SESSIONS: std::ops::Range<u64> = 1_000..2_000;
const INSTRUCTION_TOKENS: u32 = 55;
const HISTORY_TOKENS: u32 = 37;

/// Interval between the messages of a router and time that one takes, in milliseconds.
const MESSAGE_INTERVAL_MS: u64 = 200;
const MESSAGE_MS: u64 = 50;

/// Number of routers from which on messages go through a hub.
const HUB_FROM: usize = 20;

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// Without learned paces.
    Fixed,
    /// With learned paces.
    Learned,
    /// With the same loads, and the true speeds of all servers.
    Oracle,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub server: usize,
    pub sent_at: Time,
    pub ended_at: Time,
    pub took_ms: f64,
}

/// A request that was placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    pub at: Time,
    pub server: usize,
    /// Time that it takes of a server of speed 1 with full slots, in milliseconds.
    pub work_ms: f64,
}

struct Message {
    arrives_at: Time,
    to: Vec<usize>,
    gossip: Gossip,
}

pub struct Sim {
    pub routers: Vec<Fleet>,
    pub servers: Vec<Server>,
    pub chooser: Chooser,
    pub requests_per_s: f64,
    pub ended: Vec<Ended>,
    /// Placed requests, in the order in which they came.
    pub placed: Vec<Placed>,
    pub refused: u64,
    pub ms: u64,
    keys: Vec<ServerKey>,
    messages: Vec<Message>,
    rng: ChaCha8Rng,
}

impl Sim {
    /// Returns a simulation of `routers` before one server for each of `speeds`.
    pub fn new(routers: usize, is_plain: bool, speeds: &[f64], chooser: Chooser, seed: u64) -> Sim {
        let mut fleet = Fleet::default();
        fleet.learn_paces(chooser == Chooser::Learned);
        let mut servers = Vec::new();
        let mut keys = Vec::new();
        for (i, speed) in speeds.iter().enumerate() {
            let server = Server::new(i, is_plain, *speed);
            let mut registration = registration(&format!("e{i}"), 1);
            registration.slots = server.slots as u32;
            registration.address.set_port(1_000 + i as u16);
            if is_plain {
                registration.weights.clear();
            }
            let id = registration.id.clone();
            fleet.apply(at(0), registration);
            keys.push(fleet.by_id(&id).unwrap());
            servers.push(server);
        }
        Sim {
            routers: vec![fleet; routers],
            servers,
            chooser,
            requests_per_s: 0.0,
            ended: Vec::new(),
            placed: Vec::new(),
            refused: 0,
            ms: 0,
            keys,
            messages: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn now(&self) -> Time {
        at(self.ms)
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.ms += 1;
            self.deliver();
            self.arrive();
            self.run_servers();
            self.send();
        }
    }

    fn arrive(&mut self) {
        let now = self.now();
        let mut expected = self.requests_per_s / 1_000.0;
        while expected > 0.0 {
            if self.rng.random::<f64>() < expected.min(1.0) {
                self.place(now);
            }
            expected -= 1.0;
        }
    }

    fn place(&mut self, now: Time) {
        let router = self.rng.random_range(0..self.routers.len());
        let is_long = self.rng.random_range(0..10) < LONG_OF_TEN;
        let tokens = self.rng.random_range(ANSWER_TOKENS);
        let seed = self.rng.random();
        let is_plain = self.servers[0].is_plain;
        let prompt = if is_long { LONG_TOKENS } else { SHORT_TOKENS };
        let session = self.rng.random_range(SESSIONS);
        let own = part(seed, prompt - INSTRUCTION_TOKENS - HISTORY_TOKENS);
        let parts = [
            part(1, INSTRUCTION_TOKENS),
            part(session, HISTORY_TOKENS),
            own,
        ];
        let mut request = PlacementRequest {
            deadline: now.plus_millis(60_000),
            objective_ms: 60_000,
            seed,
            ..request(&parts)
        };
        if is_plain {
            request.prompt = None;
        }
        let Some(choice) = self.choose(router, &request, now) else {
            self.refused += 1;
            return;
        };
        let server = self
            .keys
            .iter()
            .position(|key| *key == choice.server)
            .unwrap();
        let fleet = &mut self.routers[router];
        let prefill_ms = choice.nominal_prefill_ms() as u64;
        fleet.begin_request(now, choice.server, prefill_ms);
        let request_ms = fleet.get(choice.server).unwrap().request_ms(now);
        self.placed.push(Placed {
            at: now,
            server,
            work_ms: server::work_ms(is_plain, prompt, tokens),
        });
        self.servers[server].waiting.push_back(Job {
            number: seed,
            router,
            key: choice.server,
            sent_at: now,
            prompt: if is_plain { 1.0 } else { f64::from(prompt) },
            left: tokens,
            tokens,
            expected_ms: choice.nominal_ms(),
            prefill_ms,
            request_ms,
            first_at: None,
        });
    }

    fn choose(&self, router: usize, request: &PlacementRequest<'_>, now: Time) -> Option<Choice> {
        let regions = BTreeMap::new();
        let placement = Placement {
            fleet: &self.routers[router],
            residency: &Residency::default(),
            weights: &no_weights(5_000),
            stores: PrefixStores {
                configuration: None,
                regions: &regions,
            },
            limits_room: false,
            domain: "a",
            now,
        };
        if self.chooser != Chooser::Oracle {
            return placement.choose(request).ok();
        }
        let choices = (0..self.keys.len()).filter_map(|only| {
            let tried: Vec<ServerKey> = self
                .keys
                .iter()
                .copied()
                .filter(|k| *k != self.keys[only])
                .collect();
            let request = PlacementRequest {
                tried: &tried,
                ..request.clone()
            };
            let choice = placement.choose(&request).ok()?;
            let own_ms = if self.servers[only].is_plain {
                45.0
            } else {
                0.0
            };
            let cost_ms = (choice.cost_ms + own_ms) / self.servers[only].speed;
            Some(Choice { cost_ms, ..choice })
        });
        choices.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn run_servers(&mut self) {
        let now = self.now();
        for i in 0..self.servers.len() {
            for progress in self.servers[i].run(now) {
                match progress {
                    Progress::First(job) => self.first(now, i, &job),
                    Progress::Done(job) => self.done(now, i, &job),
                }
            }
        }
    }

    fn first(&mut self, now: Time, server: usize, job: &Job) {
        let fleet = &mut self.routers[job.router];
        fleet.end_prefill(now, job.key, job.prefill_ms);
        let request_ms = fleet.get(job.key).unwrap().request_ms(now);
        self.servers[server].set_request_ms(job, request_ms);
        let timing = AttemptTiming::FirstEvent {
            took_ms: millis(job.sent_at, now),
            expected_ms: job.expected_ms,
            prefill_ms: job.prefill_ms as f64,
        };
        fleet.record_timing(now, job.key, timing);
    }

    fn done(&mut self, now: Time, server: usize, job: &Job) {
        let fleet = &mut self.routers[job.router];
        let took_ms = millis(job.sent_at, now);
        let request_ms = fleet.get(job.key).unwrap().request_ms(now) - job.request_ms;
        let timing = match job.first_at {
            None => AttemptTiming::Whole {
                took_ms,
                requests: request_ms / took_ms,
            },
            Some(first_at) => AttemptTiming::Event {
                event_ms: millis(first_at, now) / f64::from(job.tokens - 1),
                requests: request_ms / millis(first_at, now),
            },
        };
        fleet.record_timing(now, job.key, timing);
        fleet.end_request(job.key, 0);
        self.ended.push(Ended {
            server,
            sent_at: job.sent_at,
            ended_at: now,
            took_ms,
        });
    }

    fn send(&mut self) {
        let count = self.routers.len();
        for from in 0..count {
            if !(self.ms + from as u64 * 7).is_multiple_of(MESSAGE_INTERVAL_MS) {
                continue;
            }
            let is_hub = count >= HUB_FROM && from == 0;
            let to = match (count >= HUB_FROM, is_hub) {
                (true, false) => vec![0],
                _ => (0..count).filter(|to| *to != from).collect(),
            };
            let gossip = self.message(from, is_hub);
            self.messages.push(Message {
                arrives_at: self.now().plus_millis(MESSAGE_MS),
                to,
                gossip,
            });
        }
    }

    fn message(&self, from: usize, is_hub: bool) -> Gossip {
        let now = self.now();
        let fleet = &self.routers[from];
        let counts = |_| is_hub;
        let loads: Vec<LoadUpdate> = fleet
            .iter()
            .filter_map(|(_, server)| {
                let update = LoadUpdate::new(now, server, counts)?;
                Some(update.with_pace(now, server, counts))
            })
            .collect();
        let paces = match self.chooser {
            Chooser::Learned => loads.iter().filter_map(|load| load.pace).collect(),
            _ => Vec::new(),
        };
        let bytes = postcard::to_stdvec(&Gossip {
            from: from as u64 + 1,
            region: is_hub.then_some(99),
            loads,
            paces,
            ..Gossip::default()
        });
        postcard::from_bytes(&bytes.unwrap()).unwrap()
    }

    fn deliver(&mut self) {
        let now = self.now();
        while self.messages.first().is_some_and(|m| m.arrives_at <= now) {
            let message = self.messages.remove(0);
            for to in message.to {
                let fleet = &mut self.routers[to];
                message
                    .gossip
                    .apply(now, fleet, &mut Residency::default(), None);
            }
        }
    }

    /// Returns the parts of the servers in the work placed from `from_ms` to `to_ms`.
    pub fn shares(&self, from_ms: u64, to_ms: u64) -> Vec<f64> {
        let mut work_ms = vec![0.0; self.servers.len()];
        let within = |placed: &&Placed| placed.at >= at(from_ms) && placed.at < at(to_ms);
        for placed in self.placed.iter().filter(within) {
            work_ms[placed.server] += placed.work_ms;
        }
        let sum: f64 = work_ms.iter().sum();
        work_ms.iter().map(|work_ms| work_ms / sum).collect()
    }

    /// Returns the 99th percentile of the response times of requests sent from `from_ms` on.
    pub fn p99_ms(&self, from_ms: u64) -> f64 {
        let sent = self
            .ended
            .iter()
            .filter(|ended| ended.sent_at >= at(from_ms));
        let mut times: Vec<f64> = sent.map(|ended| ended.took_ms).collect();
        times.sort_by(f64::total_cmp);
        times[times.len() * 99 / 100]
    }

    /// Returns when the first response of a server ended, sent from `from_ms` on, that took at
    /// least `late_ms`, in milliseconds.
    pub fn first_late_ms(&self, server: usize, from_ms: u64, late_ms: f64) -> u64 {
        let mut of_server = self.ended.iter().filter(|ended| ended.server == server);
        let late = of_server.find(|e| e.sent_at >= at(from_ms) && e.took_ms >= late_ms);
        late.unwrap().ended_at.millis_since(at(0))
    }

    /// Returns the mean pace of a server over all routers.
    pub fn pace(&self, server: usize) -> f64 {
        let now = self.now();
        let paces = self.routers.iter();
        let paces = paces.map(|fleet| fleet.get(self.keys[server]).unwrap().pace(now));
        paces.sum::<f64>() / self.routers.len() as f64
    }
}

fn millis(from: Time, to: Time) -> f64 {
    to.micros_since(from) as f64 / 1_000.0
}
