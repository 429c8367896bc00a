//! Requests that crash engines (poison requests), and requests co-located with them.

mod common;

use std::collections::BTreeMap;

use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::Event;
use policy::Failure;
use policy::Incarnation;
use policy::LoadReport;
use policy::Node;
use policy::Outcome;
use policy::PeerMessage;
use policy::Reason;
use policy::Time;

use crate::common::completion_with_fingerprint;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::step_with_empty_store;
use crate::common::START;

/// Id of the call with the poison request.
const POISON_CALL: u64 = 1;

/// A router whose calls run on simulated engines.
struct Simulation {
    now: Time,
    node: Node,
    /// Server and attempt of each running call.
    running: BTreeMap<u64, (String, AttemptId)>,
    /// Reason and outcome of each refused call.
    refused: BTreeMap<u64, (Reason, Outcome)>,
    /// Strikes sent to other routers.
    strikes: Vec<policy::Strike>,
}

impl Simulation {
    fn with_engines(engines: u16) -> Simulation {
        Simulation {
            now: START,
            node: node(&config(engines)),
            running: BTreeMap::new(),
            refused: BTreeMap::new(),
            strikes: Vec::new(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let actions = step_with_empty_store(&mut self.node, self.now, event);
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let at = (dispatch.server_name, dispatch.at.attempt);
                    self.running.insert(dispatch.at.call.0, at);
                }
                Action::Refuse { call, refusal } => {
                    self.running.remove(&call.0);
                    self.refused
                        .insert(call.0, (refusal.reason(), refusal.outcome()));
                }
                Action::SendPeer {
                    message: PeerMessage::Strikes(strikes),
                    ..
                } => self.strikes.extend(strikes),
                _ => {}
            }
        }
    }

    fn report(&mut self, call: u64, report: BackendReport) {
        let attempt = self.running[&call].1;
        self.handle_event(Event::Backend {
            call: CallId(call),
            attempt,
            report,
        });
    }

    /// Fails the engine that runs `call`, with all calls running on it.
    fn fail_engine_of(&mut self, call: u64) {
        let server = self.running[&call].0.clone();
        let failed_calls: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, (at, _))| *at == server)
            .map(|(call, _)| *call)
            .collect();
        for call in failed_calls {
            let report = BackendReport::Failed {
                failure: Failure::Broken,
                delivered: 0,
            };
            let attempt = self.running.remove(&call).expect("the call is running").1;
            self.handle_event(Event::Backend {
                call: CallId(call),
                attempt,
                report,
            });
        }
    }

    /// Advances the time by one second and handles the timers.
    fn advance_one_second(&mut self) {
        let until = self.now.plus_millis(1_000);
        while let Some(at) = self.node.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.handle_event(Event::Tick);
        }
        self.now = until;
    }

    /// Finishes all calls but the poison call, including those that start within 20 seconds.
    fn finish_other_calls(&mut self) {
        for _ in 0..20 {
            let calls: Vec<u64> = self.running.keys().copied().collect();
            for call in calls.into_iter().filter(|call| *call != POISON_CALL) {
                self.report(call, BackendReport::FirstToken);
                self.report(call, BackendReport::Finished { output_tokens: 1 });
                self.running.remove(&call);
            }
            self.advance_one_second();
        }
    }
}

#[test]
fn calls_of_a_failed_engine_are_retried_on_different_engines() {
    let mut simulation = Simulation::with_engines(4);
    for call in 1..=9 {
        simulation.handle_event(completion_with_fingerprint(call, call));
    }
    let at = simulation.running[&POISON_CALL].0.clone();
    let affected_calls: Vec<u64> = simulation
        .running
        .iter()
        .filter(|(_, (server, _))| *server == at)
        .map(|(call, _)| *call)
        .collect();

    simulation.fail_engine_of(POISON_CALL);

    let mut retry_servers: Vec<&String> = affected_calls
        .iter()
        .filter_map(|call| simulation.running.get(call))
        .map(|(server, _)| server)
        .collect();
    let retry_count = retry_servers.len();
    retry_servers.sort_unstable();
    retry_servers.dedup();
    assert!(!retry_servers.is_empty());
    assert_eq!(retry_servers.len(), retry_count);
}

#[test]
fn only_the_poison_request_is_refused_after_two_engines_failed() {
    let mut simulation = Simulation::with_engines(6);
    for call in 1..=40 {
        simulation.handle_event(completion_with_fingerprint(call, call));
    }

    simulation.fail_engine_of(POISON_CALL);
    while !simulation.running.contains_key(&POISON_CALL) {
        simulation.advance_one_second();
    }
    simulation.fail_engine_of(POISON_CALL);
    simulation.advance_one_second();
    simulation.finish_other_calls();

    let expected = (Reason::CrashedEngines, Outcome::Unknown);
    assert_eq!(
        simulation.refused,
        BTreeMap::from([(POISON_CALL, expected)])
    );
    assert!(simulation.running.is_empty());
}

#[test]
fn a_poison_request_that_is_sent_again_is_refused_immediately() {
    let mut simulation = Simulation::with_engines(6);
    simulation.handle_event(completion_with_fingerprint(POISON_CALL, 77));
    simulation.fail_engine_of(POISON_CALL);
    simulation.fail_engine_of(POISON_CALL);
    simulation.advance_one_second();

    simulation.handle_event(completion_with_fingerprint(2, 77));

    assert_eq!(
        simulation.refused[&2],
        (Reason::CrashedEngines, Outcome::NotRun)
    );
}

#[test]
fn a_poison_request_known_from_a_peer_is_refused_immediately() {
    let mut simulation = Simulation::with_engines(6);
    let instance = |server: &str| policy::ServerInstance {
        server: server.to_owned(),
        incarnation: Incarnation(1),
    };
    let strike = |server: &str, on_trial| policy::Strike {
        fingerprint: 77,
        mark: instance(server),
        at_ms: START.as_millis(),
        on_trial,
    };
    let strikes = vec![strike("engine1", false), strike("engine2", true)];

    simulation.handle_event(Event::Peer {
        from: "vm2".to_owned(),
        message: PeerMessage::Strikes(strikes),
    });
    simulation.handle_event(completion_with_fingerprint(1, 77));

    assert_eq!(
        simulation.refused[&1],
        (Reason::CrashedEngines, Outcome::NotRun)
    );
}

#[test]
fn a_broken_connection_to_a_running_engine_leaves_no_strike() {
    let mut simulation = Simulation::with_engines(6);
    simulation.handle_event(completion_with_fingerprint(POISON_CALL, 77));
    let server = simulation.running[&POISON_CALL].0.clone();
    simulation.fail_engine_of(POISON_CALL);
    simulation.fail_engine_of(POISON_CALL);
    simulation.now = simulation.now.plus_millis(100);
    for server in [server, "engine1".to_owned(), "engine2".to_owned()] {
        let report = LoadReport {
            server,
            incarnation: Incarnation(0),
            at: simulation.now,
            queued_tokens: 0,
            running: 0,
            leaving: false,
            weights: None,
        };
        simulation.handle_event(Event::Load(report));
    }

    let actions = step(
        &mut simulation.node,
        simulation.now,
        completion_with_fingerprint(2, 78),
    );

    assert!(actions.iter().any(|a| matches!(a, Action::Dispatch(_))));
}
