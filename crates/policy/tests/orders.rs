//! Weights loads with lost responses, late orders and routers that pause.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use config::Config;
use policy::Action;
use policy::Event;
use policy::HeldWeights;
use policy::Identity;
use policy::Incarnation;
use policy::LoadReport;
use policy::Node;
use policy::Order;
use policy::OrderResponse;
use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::config;
use crate::common::step;
use crate::common::START;

/// Number of simulations per test, each with its own seed.
const SEEDS: u64 = 60;
const ENGINES: u16 = 8;
const ROUTERS: usize = 3;
/// Configured limit of concurrent weights loads.
const MAX_CONCURRENT_LOADS: usize = 2;
const LAST_VERSION: u64 = 9;
/// Duration of a weights load, in milliseconds.
const WEIGHTS_LOAD_MS: u64 = 500;
const LOAD_REPORT_INTERVAL_MS: u64 = 300;

/// Time within which an order arrives, in milliseconds.
const MAX_ORDER_FLIGHT_MS: u64 = 1_900;

/// A simulated engine, which refuses stale fencing tokens if `checks_fencing` is set.
struct Engine {
    checks_fencing: bool,
    /// Highest fencing token received, or the last one if it does not check.
    fencing: u64,
    /// Version of the weights held.
    held: u64,
    /// Version being loaded, and the time at which the load ends, in milliseconds.
    loading: Option<(u64, u64)>,
}

/// A message in flight, with the router that sent or receives it.
enum Message {
    Order(usize, Order),
    Event(usize, Event),
    Store(usize, policy::OpId, StoreRequest),
}

/// Routers, engines and a key-value service, with the messages between them.
struct Simulation {
    now_ms: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    paused_until_ms: Vec<u64>,
    engines: Vec<Engine>,
    /// Version and value of each key of the key-value service.
    store: BTreeMap<String, (u64, Vec<u8>)>,
    /// Messages in flight, by time of arrival in milliseconds and number.
    messages: BTreeMap<(u64, u64), Message>,
    /// Number of messages sent.
    sent: u64,
    max_concurrent_loads: usize,
    stale_orders_refused: u32,
}

fn config_with_weights(version: u64) -> Arc<Config> {
    let mut cfg = Arc::unwrap_or_clone(config(ENGINES));
    cfg.limits.loads_at_once = MAX_CONCURRENT_LOADS as u32;
    cfg.models
        .get_mut("long")
        .expect("the model is declared")
        .weights_version = version;
    for (i, server) in cfg.backend_servers.values_mut().enumerate() {
        server.checks_fencing = i % 2 == 0;
    }
    Arc::new(cfg)
}

fn router(i: usize) -> Node {
    let identity = Identity {
        vm: format!("vm{i}"),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: 1,
    };
    Node::new(identity, i as u64)
}

impl Simulation {
    /// Changes the weights up to [`LAST_VERSION`] while routers pause for up to
    /// `pause_ms` at a time, then runs for 90 s without pauses.
    fn with_pauses(pause_ms: u64, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..ROUTERS).map(router).collect(),
            paused_until_ms: vec![0; ROUTERS],
            engines: (0..ENGINES).map(|i| Engine::new(i % 2 == 0)).collect(),
            store: BTreeMap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            max_concurrent_loads: 0,
            stale_orders_refused: 0,
        };
        for version in 2..=LAST_VERSION {
            simulation.configure(version);
            simulation.run_for(4_000, pause_ms);
        }
        simulation.run_for(90_000, 0);
        simulation
    }

    /// Sends a configuration with this version of the weights to all routers.
    fn configure(&mut self, version: u64) {
        for router in 0..ROUTERS {
            let event = Event::Config {
                version,
                config: config_with_weights(version),
            };
            self.send(Message::Event(router, event), 1_000);
        }
    }

    /// Runs in steps of a millisecond; with `pause_ms` above 0, routers pause at random.
    fn run_for(&mut self, ms: u64, pause_ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.finish_loads();
            self.deliver();
            if self.now_ms.is_multiple_of(LOAD_REPORT_INTERVAL_MS) {
                self.report_loads();
            }
            if pause_ms > 0 && self.rng.random_bool(0.0004) {
                let router = self.rng.random_range(0..ROUTERS);
                let pause = self.rng.random_range(0..pause_ms);
                self.paused_until_ms[router] = self.now_ms + pause;
            }
            self.tick();
        }
    }

    fn now(&self) -> Time {
        START.plus_millis(self.now_ms)
    }

    /// Sends a message that arrives at a random time within `max_delay_ms`.
    fn send(&mut self, message: Message, max_delay_ms: u64) {
        let at = self.now_ms + self.rng.random_range(1..max_delay_ms);
        self.send_at(message, at);
    }

    fn send_at(&mut self, message: Message, at: u64) {
        self.sent += 1;
        self.messages.insert((at, self.sent), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Order(router, order) => self.handle_order(router, order),
                Message::Event(router, event) => self.handle_event(router, event),
                Message::Store(router, op, request) => {
                    self.handle_store_request(router, op, request)
                }
            }
        }
    }

    /// Lets a router handle an event, once its pause has ended if it is paused.
    fn handle_event(&mut self, router: usize, event: Event) {
        let until = self.paused_until_ms[router];
        if until > self.now_ms {
            self.send_at(Message::Event(router, event), until);
            return;
        }
        let now = self.now();
        let actions = step(&mut self.nodes[router], now, event);
        for action in actions {
            match action {
                Action::Order(order) => {
                    self.send(Message::Order(router, order), MAX_ORDER_FLIGHT_MS)
                }
                Action::Store { op, request } => {
                    self.send(Message::Store(router, op, request), 20);
                }
                _ => {}
            }
        }
    }

    /// Gives an order to its engine; one response in five is lost.
    fn handle_order(&mut self, router: usize, order: Order) {
        let i = usize::from(order.address.port()) - 8_001;
        let response = self.engines[i].handle_order(self.now_ms, &order);
        self.stale_orders_refused += u32::from(response != OrderResponse::Taken);
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count();
        self.max_concurrent_loads = self.max_concurrent_loads.max(loading);
        if self.rng.random_bool(0.8) {
            let event = Event::OrderAnswered {
                server: order.server,
                fencing: order.fencing,
                response,
            };
            self.send(Message::Event(router, event), 20);
        }
    }

    /// Executes a request to the key-value service; one response in 20 is lost.
    fn handle_store_request(&mut self, router: usize, op: policy::OpId, request: StoreRequest) {
        let result = match request {
            StoreRequest::Get { key } => match self.store.get(&key).cloned() {
                Some((version, value)) => StoreResult::Value { version, value },
                None => StoreResult::Absent,
            },
            StoreRequest::CompareAndSwap {
                key,
                expected,
                value,
                ..
            } => {
                let held = self.store.get(&key).cloned();
                if held.as_ref().map_or(0, |(version, _)| *version) == expected {
                    self.store.insert(key, (expected + 1, value));
                    StoreResult::Written {
                        version: expected + 1,
                    }
                } else {
                    StoreResult::Conflict { held }
                }
            }
        };
        let result = match self.rng.random_range(0..20) {
            0 => StoreResult::ResponseLost,
            _ => result,
        };
        self.send(Message::Event(router, Event::Store { op, result }), 20);
    }

    /// Completes the weights loads that have reached their end.
    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            if let Some((version, until_ms)) = engine.loading {
                if until_ms <= self.now_ms {
                    engine.held = version;
                    engine.loading = None;
                }
            }
        }
    }

    /// Sends the load report of every engine to every router.
    fn report_loads(&mut self) {
        for i in 0..usize::from(ENGINES) {
            let report = LoadReport {
                server: format!("engine{}", i + 1),
                incarnation: Incarnation(1),
                at: self.now(),
                queued_tokens: 0,
                running: 0,
                leaving: false,
                weights: Some(vec![HeldWeights {
                    model: "long".to_owned(),
                    version: self.engines[i].held,
                }]),
            };
            for router in 0..ROUTERS {
                let event = Event::Load(report.clone());
                self.send(Message::Event(router, event), 50);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for router in 0..ROUTERS {
            let deadline = self.nodes[router].next_deadline();
            if deadline.is_some_and(|at| at <= now) && self.paused_until_ms[router] <= self.now_ms {
                self.handle_event(router, Event::Tick);
            }
        }
    }
}

impl Engine {
    fn new(checks_fencing: bool) -> Engine {
        Engine {
            checks_fencing,
            fencing: 0,
            held: 1,
            loading: None,
        }
    }

    fn handle_order(&mut self, now_ms: u64, order: &Order) -> OrderResponse {
        if self.checks_fencing && order.fencing < self.fencing {
            return OrderResponse::StaleFencing(self.fencing);
        }
        self.fencing = order.fencing;
        let target = self.loading.map_or(self.held, |(version, _)| version);
        if target != order.weights_version {
            self.loading = Some((order.weights_version, now_ms + WEIGHTS_LOAD_MS));
        }
        OrderResponse::Taken
    }
}

#[test]
fn all_engines_end_with_the_last_weights() {
    for seed in 0..SEEDS {
        let simulation = Simulation::with_pauses(0, seed);

        assert!(
            simulation.engines.iter().all(|e| e.held == LAST_VERSION),
            "seed {seed}"
        );
    }
}

#[test]
fn concurrent_loads_stay_within_the_limit_while_routers_pause() {
    for seed in 0..SEEDS {
        let simulation = Simulation::with_pauses(12_000, seed);

        assert!(
            simulation.max_concurrent_loads <= MAX_CONCURRENT_LOADS,
            "seed {seed}: {}",
            simulation.max_concurrent_loads
        );
        assert!(
            simulation.engines.iter().all(|e| e.held == LAST_VERSION),
            "seed {seed}"
        );
    }
}

#[test]
fn an_engine_that_checks_fencing_tokens_refuses_the_order_of_a_paused_router() {
    let refused: u32 = (0..SEEDS)
        .map(|seed| Simulation::with_pauses(12_000, seed).stale_orders_refused)
        .sum();

    assert!(refused > 0);
}

/// Lets one router acquire the loading slot for `engine` and then stop, until
/// another one takes the slot over. Returns the end of the new lease, in
/// milliseconds after the start.
fn takeover_lease_end_ms(engine: &str) -> u64 {
    let mut store: (u64, Vec<u8>) = (0, Vec::new());
    let mut first = router(1);
    let mut second = router(2);
    run_until_first_write(&mut first, engine, 0..1_000, &mut store);
    let acquired = store.clone();
    run_until_first_write(&mut second, engine, 1_000..10_000, &mut store);
    assert_ne!(acquired, store, "the slot was not taken over");
    let text = String::from_utf8(store.1).expect("the record is JSON");
    let record: serde_json::Value = serde_json::from_str(&text).expect("the record is JSON");
    let lease_end_us = record["slots"][0]["until"].as_u64().expect("it has an end");
    lease_end_us / 1_000 - START.as_millis()
}

/// Sends load reports of `engine` to a router until it has written the record once.
fn run_until_first_write(
    node: &mut Node,
    engine: &str,
    span_ms: std::ops::Range<u64>,
    store: &mut (u64, Vec<u8>),
) {
    let event = Event::Config {
        version: 2,
        config: config_with_weights(2),
    };
    step(node, START.plus_millis(span_ms.start), event);
    for ms in span_ms {
        let now = START.plus_millis(ms);
        let report = LoadReport {
            server: engine.to_owned(),
            incarnation: Incarnation(1),
            at: now,
            queued_tokens: 0,
            running: 0,
            leaving: false,
            weights: Some(vec![HeldWeights {
                model: "long".to_owned(),
                version: 1,
            }]),
        };
        for action in step(node, now, Event::Load(report)) {
            let Action::Store { op, request } = action else {
                continue;
            };
            let result = match request {
                StoreRequest::Get { .. } if store.0 == 0 => StoreResult::Absent,
                StoreRequest::Get { .. } => StoreResult::Value {
                    version: store.0,
                    value: store.1.clone(),
                },
                StoreRequest::CompareAndSwap { value, .. } => {
                    *store = (store.0 + 1, value);
                    return;
                }
            };
            step(node, now, Event::Store { op, result });
        }
    }
}

#[test]
fn a_slot_is_taken_over_only_after_no_order_of_its_holder_can_arrive() {
    let first_lease_end_ms = 3_000;
    let slot_lease_ms = 3_000;

    let checking = takeover_lease_end_ms("engine1") - slot_lease_ms;
    let not_checking = takeover_lease_end_ms("engine2") - slot_lease_ms;

    assert!(checking >= first_lease_end_ms, "{checking}");
    assert!(
        not_checking >= first_lease_end_ms + MAX_ORDER_FLIGHT_MS,
        "{not_checking}"
    );
}
