//! Cells of engines, their owners, and routers that have to decide without them.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use config::Config;
use policy::Action;
use policy::CellLoad;
use policy::Dispatch;
use policy::Event;
use policy::Identity;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::Node;
use policy::PeerMessage;
use policy::Placed;
use policy::PlacementQuery;
use policy::ServerInstance;
use policy::Time;

use crate::common::completion;
use crate::common::config;
use crate::common::step;
use crate::common::START;

/// Longest wait for an owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 15;

/// Routers and engines that stand in one region.
struct Fleet {
    cfg: Arc<Config>,
    nodes: BTreeMap<String, Node>,
}

impl Fleet {
    fn new(routers: usize, engines: u16) -> Fleet {
        let cfg = config(engines);
        let vms: Vec<String> = (0..routers).map(|i| format!("vm{i}")).collect();
        let nodes = vms.iter().map(|vm| (vm.clone(), router(vm, &cfg, &vms)));
        Fleet {
            nodes: nodes.collect(),
            cfg,
        }
    }

    /// Returns a router that owns no cell, and the owner.
    fn entry_and_owner(&mut self) -> (Node, Node) {
        let owner = owner_of(&self.cfg, self.nodes.len());
        let owner = self.nodes.remove(&owner).expect("it is a router");
        let (_, entry) = self.nodes.pop_first().expect("there are others");
        (entry, owner)
    }
}

fn identity(vm: &str) -> Identity {
    Identity {
        vm: vm.to_owned(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: 1,
    }
}

fn router(vm: &str, cfg: &Arc<Config>, vms: &[String]) -> Node {
    let mut node = Node::new(identity(vm), 1);
    step(&mut node, START, Event::Members(members(vms)));
    step(&mut node, START, configured(1, cfg));
    node
}

fn configured(version: u64, cfg: &Arc<Config>) -> Event {
    Event::Config {
        version,
        config: cfg.clone(),
    }
}

fn members(vms: &[String]) -> Vec<Member> {
    let member = |(i, vm): (usize, &String)| Member {
        name: vm.clone(),
        role: MemberRole::Router,
        address: ([127, 0, 0, 1], 7_000 + i as u16).into(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: Incarnation(1),
        leaving: false,
    };
    vms.iter().enumerate().map(member).collect()
}

/// Returns how many engines a router watches after its start.
fn watched(vm: &str, cfg: &Arc<Config>, vms: &[String]) -> usize {
    let mut node = Node::new(identity(vm), 1);
    step(&mut node, START, Event::Members(members(vms)));
    let actions = step(&mut node, START, configured(1, cfg));
    actions
        .iter()
        .find_map(|action| match action {
            Action::Watch(engines) => Some(engines.len()),
            _ => None,
        })
        .unwrap_or(0)
}

/// Returns the router that watches the engines of a fleet with a single cell.
fn owner_of(cfg: &Arc<Config>, routers: usize) -> String {
    let vms: Vec<String> = (0..routers).map(|i| format!("vm{i}")).collect();
    vms.iter()
        .find(|vm| watched(vm, cfg, &vms) > 0)
        .expect("a cell has an owner")
        .clone()
}

fn question(actions: &[Action]) -> (String, PlacementQuery) {
    actions
        .iter()
        .find_map(|action| match action {
            Action::SendPeer {
                to,
                message: PeerMessage::Place(req),
                ..
            } => Some((to.clone(), req.clone())),
            _ => None,
        })
        .unwrap_or_else(|| panic!("no owner was asked: {actions:?}"))
}

fn answer(actions: &[Action]) -> Placed {
    actions
        .iter()
        .find_map(|action| match action {
            Action::SendPeer {
                message: PeerMessage::Placed(placed),
                ..
            } => Some(placed.clone()),
            _ => None,
        })
        .unwrap_or_else(|| panic!("the owner gave no answer: {actions:?}"))
}

fn sent(actions: &[Action]) -> Vec<&Dispatch> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

fn from(vm: &str, message: PeerMessage) -> Event {
    Event::Peer {
        from: vm.to_owned(),
        message,
    }
}

fn ask(owner: &mut Node, entry: &Node, now: Time, req: PlacementQuery) -> Placed {
    let vm = entry.identity().vm.clone();
    let actions = step(owner, now, from(&vm, PeerMessage::Place(req)));
    answer(&actions)
}

fn late() -> Time {
    START.plus_millis(OWNER_WAIT_MS)
}

#[test]
fn each_engine_is_watched_by_one_router() {
    let cfg = config(40);
    let vms: Vec<String> = (0..9).map(|i| format!("vm{i}")).collect();

    let counts: Vec<usize> = vms.iter().map(|vm| watched(vm, &cfg, &vms)).collect();

    assert_eq!(counts.iter().sum::<usize>(), 40);
    assert!(counts.iter().all(|n| *n < 40), "{counts:?}");
}

#[test]
fn a_call_goes_to_the_engine_that_the_owner_names() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = question(&step(&mut entry, START, completion(1)));

    let placed = ask(&mut owner, &entry, START, req);
    let actions = step(
        &mut entry,
        START,
        from(&to, PeerMessage::Placed(placed.clone())),
    );

    assert_eq!(to, owner.identity().vm);
    let server = &placed.server.expect("an engine is free").server;
    assert_eq!(sent(&actions)[0].server_name, *server);
}

#[test]
fn a_call_whose_owner_is_silent_goes_where_the_owner_would_have_sent_it() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (_, req) = question(&step(&mut entry, START, completion(1)));
    let placed = ask(&mut owner, &entry, START, req);

    let actions = step(&mut entry, late(), Event::Tick);

    let server = placed.server.expect("an engine is free").server;
    assert_eq!(sent(&actions)[0].server_name, server);
}

#[test]
fn an_answer_that_comes_late_sends_nothing() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = question(&step(&mut entry, START, completion(1)));
    let placed = ask(&mut owner, &entry, START, req);
    let alone = step(&mut entry, late(), Event::Tick);

    let actions = step(&mut entry, late(), from(&to, PeerMessage::Placed(placed)));

    assert_eq!(sent(&alone).len(), 1);
    assert!(sent(&actions).is_empty());
}

#[test]
fn an_answer_that_names_an_engine_outside_the_cell_is_not_followed() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = question(&step(&mut entry, START, completion(1)));
    let mut placed = ask(&mut owner, &entry, START, req);
    placed.server = Some(ServerInstance {
        server: "bookings/r1".to_owned(),
        incarnation: Incarnation(0),
    });

    let actions = step(&mut entry, START, from(&to, PeerMessage::Placed(placed)));

    assert!(sent(&actions)[0].server_name.starts_with("engine"));
}

#[test]
fn an_answer_that_relies_on_a_dead_incarnation_is_not_followed() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = question(&step(&mut entry, START, completion(1)));
    let mut placed = ask(&mut owner, &entry, START, req);
    placed.expected_cached_tokens = 4_000;
    let server = placed.server.clone().expect("an engine is free").server;
    let mut restarted = members(&[]);
    restarted.extend((1..=8).map(|i| Member {
        name: format!("engine{i}"),
        role: MemberRole::BackendServer,
        address: ([127, 0, 0, 1], 8_000 + i).into(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: Incarnation(2),
        leaving: false,
    }));
    step(&mut entry, START, Event::Members(restarted));

    let actions = step(&mut entry, START, from(&to, PeerMessage::Placed(placed)));

    let dispatch = sent(&actions)[0];
    assert_eq!(dispatch.incarnation, Incarnation(2), "at {server}");
    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn an_owner_names_no_engine_that_failed_the_call() {
    let (entry, mut owner) = Fleet::new(3, 2).entry_and_owner();
    let mut node = Fleet::new(3, 2).entry_and_owner().0;
    let (_, mut req) = question(&step(&mut node, START, completion(1)));
    req.avoid = vec!["engine1".to_owned()];

    let placed = ask(&mut owner, &entry, START, req);

    assert_eq!(placed.server.expect("one is left").server, "engine2");
}

#[test]
fn an_owner_names_no_engine_to_a_workspace_that_it_does_not_know() {
    let (mut entry, mut owner) = Fleet::new(3, 2).entry_and_owner();
    let (_, mut req) = question(&step(&mut entry, START, completion(1)));
    req.workspace = "stranger".to_owned();

    let placed = ask(&mut owner, &entry, START, req);

    assert_eq!(placed.server, None);
}

#[test]
fn a_family_moves_to_another_cell_when_its_first_one_is_overloaded() {
    let (mut entry, owner) = Fleet::new(3, 32).entry_and_owner();
    let (_, first) = question(&step(&mut entry, START, completion(1)));
    let load = CellLoad {
        cell: first.cell,
        queued_tokens: 200_000,
        least_queued_tokens: 200_000,
    };
    let vm = owner.identity().vm.clone();
    step(
        &mut entry,
        START,
        from(&vm, PeerMessage::CellLoad(vec![load])),
    );

    let actions = step(&mut entry, START, completion(2));

    let asked = actions.iter().find_map(|action| match action {
        Action::SendPeer {
            message: PeerMessage::Place(req),
            ..
        } => Some(req.cell),
        _ => None,
    });
    assert_ne!(asked, Some(first.cell));
}
