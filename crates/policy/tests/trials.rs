//! Requests that break their runners, and those that shared the runners with them.

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

use crate::common::completion_of;
use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::step_with_store;
use crate::common::START;

const CULPRIT: u64 = 1;

/// A router whose calls run at simple engines.
struct Run {
    now: Time,
    node: Node,
    /// Server and attempt of each call that runs.
    running: BTreeMap<u64, (String, AttemptId)>,
    refused: BTreeMap<u64, (Reason, Outcome)>,
    strikes: Vec<policy::Strike>,
}

impl Run {
    fn with_engines(engines: u16) -> Run {
        Run {
            now: START,
            node: node(&config(engines)),
            running: BTreeMap::new(),
            refused: BTreeMap::new(),
            strikes: Vec::new(),
        }
    }

    fn hand_in(&mut self, event: Event) {
        let actions = step_with_store(&mut self.node, self.now, event);
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
        self.hand_in(Event::Backend {
            call: CallId(call),
            attempt,
            report,
        });
    }

    /// Breaks the engine that runs `call`, with all that it runs.
    fn break_engine_of(&mut self, call: u64) {
        let server = self.running[&call].0.clone();
        let broken: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, (at, _))| *at == server)
            .map(|(call, _)| *call)
            .collect();
        for call in broken {
            let report = BackendReport::Failed {
                failure: Failure::Broken,
                delivered: 0,
            };
            let attempt = self.running.remove(&call).expect("it runs").1;
            self.hand_in(Event::Backend {
                call: CallId(call),
                attempt,
                report,
            });
        }
    }

    /// Lets a second go by.
    fn wait(&mut self) {
        let until = self.now.plus_millis(1_000);
        while let Some(at) = self.node.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.hand_in(Event::Tick);
        }
        self.now = until;
    }

    /// Finishes all that runs but the culprit, until nothing else is left.
    fn finish_innocents(&mut self) {
        for _ in 0..20 {
            let calls: Vec<u64> = self.running.keys().copied().collect();
            for call in calls.into_iter().filter(|call| *call != CULPRIT) {
                self.report(call, BackendReport::FirstToken);
                self.report(call, BackendReport::Finished { output_tokens: 1 });
                self.running.remove(&call);
            }
            self.wait();
        }
    }
}

#[test]
fn calls_of_a_broken_engine_are_tried_one_at_an_engine() {
    let mut run = Run::with_engines(4);
    for call in 1..=9 {
        run.hand_in(completion_of(call, call));
    }
    let at = run.running[&CULPRIT].0.clone();
    let struck: Vec<u64> = run
        .running
        .iter()
        .filter(|(_, (server, _))| *server == at)
        .map(|(call, _)| *call)
        .collect();

    run.break_engine_of(CULPRIT);

    let mut tried: Vec<&String> = struck
        .iter()
        .filter_map(|call| run.running.get(call))
        .map(|(server, _)| server)
        .collect();
    let all = tried.len();
    tried.sort_unstable();
    tried.dedup();
    assert!(!tried.is_empty());
    assert_eq!(tried.len(), all);
}

#[test]
fn only_the_culprit_is_refused_after_two_engines_broke() {
    let mut run = Run::with_engines(6);
    for call in 1..=40 {
        run.hand_in(completion_of(call, call));
    }

    run.break_engine_of(CULPRIT);
    while !run.running.contains_key(&CULPRIT) {
        run.wait();
    }
    run.break_engine_of(CULPRIT);
    run.wait();
    run.finish_innocents();

    let expected = (Reason::CrashedEngines, Outcome::Unknown);
    assert_eq!(run.refused, BTreeMap::from([(CULPRIT, expected)]));
    assert!(run.running.is_empty());
}

#[test]
fn a_culprit_that_is_sent_again_is_refused_at_once() {
    let mut run = Run::with_engines(6);
    run.hand_in(completion_of(CULPRIT, 77));
    run.break_engine_of(CULPRIT);
    run.break_engine_of(CULPRIT);
    run.wait();

    run.hand_in(completion_of(2, 77));

    assert_eq!(run.refused[&2], (Reason::CrashedEngines, Outcome::NotRun));
}

#[test]
fn a_culprit_that_a_peer_knows_is_refused_at_once() {
    let mut run = Run::with_engines(6);
    let mark = |server: &str| policy::ServerInstance {
        server: server.to_owned(),
        incarnation: Incarnation(1),
    };
    let strike = |server: &str, on_trial| policy::Strike {
        fingerprint: 77,
        mark: mark(server),
        at_ms: START.as_millis(),
        on_trial,
    };
    let strikes = vec![strike("engine1", false), strike("engine2", true)];

    run.hand_in(Event::Peer {
        from: "vm2".to_owned(),
        message: PeerMessage::Strikes(strikes),
    });
    run.hand_in(completion_of(1, 77));

    assert_eq!(run.refused[&1], (Reason::CrashedEngines, Outcome::NotRun));
}

#[test]
fn a_broken_connection_to_a_live_engine_is_no_strike() {
    let mut run = Run::with_engines(6);
    run.hand_in(completion_of(CULPRIT, 77));
    let server = run.running[&CULPRIT].0.clone();
    run.break_engine_of(CULPRIT);
    run.break_engine_of(CULPRIT);
    run.now = run.now.plus_millis(100);
    for server in [server, "engine1".to_owned(), "engine2".to_owned()] {
        let report = LoadReport {
            server,
            incarnation: Incarnation(0),
            at: run.now,
            queued_tokens: 0,
            running: 0,
            leaving: false,
            weights: None,
        };
        run.hand_in(Event::Load(report));
    }

    let actions = step(&mut run.node, run.now, completion_of(2, 78));

    assert!(actions.iter().any(|a| matches!(a, Action::Dispatch(_))));
}
