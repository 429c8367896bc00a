//! Placement by the owner of a cell, and by other routers when the owner does not respond.

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

/// Maximum timeout of a query to an owner, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 15;

/// Routers of one region, by VM, with a common configuration.
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

    /// Removes and returns two routers, the second of which owns a cell. With up to 16 engines
    /// there is only one cell, so the first router owns none.
    fn entry_and_owner(&mut self) -> (Node, Node) {
        let owner = owner_of(&self.cfg, self.nodes.len());
        let owner = self.nodes.remove(&owner).expect("the owner is a router");
        let (_, entry) = self.nodes.pop_first().expect("another router is left");
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
    step(&mut node, START, config_event(1, cfg));
    node
}

fn config_event(version: u64, cfg: &Arc<Config>) -> Event {
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

/// Returns how many engines the router on `vm` watches after its start.
fn watched_count(vm: &str, cfg: &Arc<Config>, vms: &[String]) -> usize {
    let mut node = Node::new(identity(vm), 1);
    step(&mut node, START, Event::Members(members(vms)));
    let actions = step(&mut node, START, config_event(1, cfg));
    actions
        .iter()
        .find_map(|action| match action {
            Action::Watch(engines) => Some(engines.len()),
            _ => None,
        })
        .unwrap_or(0)
}

/// Returns the VM of the first router that owns a cell.
fn owner_of(cfg: &Arc<Config>, routers: usize) -> String {
    let vms: Vec<String> = (0..routers).map(|i| format!("vm{i}")).collect();
    vms.iter()
        .find(|vm| watched_count(vm, cfg, &vms) > 0)
        .expect("a cell has an owner")
        .clone()
}

/// Returns the placement query among the actions, with the VM it is sent to.
fn placement_query(actions: &[Action]) -> (String, PlacementQuery) {
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
        .unwrap_or_else(|| panic!("no query was sent: {actions:?}"))
}

/// Returns the response of an owner among the actions.
fn owner_response(actions: &[Action]) -> Placed {
    actions
        .iter()
        .find_map(|action| match action {
            Action::SendPeer {
                message: PeerMessage::Placed(placed),
                ..
            } => Some(placed.clone()),
            _ => None,
        })
        .unwrap_or_else(|| panic!("the owner sent no response: {actions:?}"))
}

fn dispatches(actions: &[Action]) -> Vec<&Dispatch> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

fn peer_event(vm: &str, message: PeerMessage) -> Event {
    Event::Peer {
        from: vm.to_owned(),
        message,
    }
}

/// Sends a placement query of `entry` to the owner and returns the response.
fn query_owner(owner: &mut Node, entry: &Node, now: Time, req: PlacementQuery) -> Placed {
    let vm = entry.identity().vm.clone();
    let actions = step(owner, now, peer_event(&vm, PeerMessage::Place(req)));
    owner_response(&actions)
}

/// Returns the time at which every query sent at the start has timed out.
fn after_owner_timeout() -> Time {
    START.plus_millis(OWNER_TIMEOUT_MS)
}

#[test]
fn each_engine_is_watched_by_one_router() {
    let cfg = config(40);
    let vms: Vec<String> = (0..9).map(|i| format!("vm{i}")).collect();

    let counts: Vec<usize> = vms.iter().map(|vm| watched_count(vm, &cfg, &vms)).collect();

    assert_eq!(counts.iter().sum::<usize>(), 40);
    assert!(counts.iter().all(|n| *n < 40), "{counts:?}");
}

#[test]
fn a_call_goes_to_the_engine_that_the_owner_chooses() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = placement_query(&step(&mut entry, START, completion(1)));

    let placed = query_owner(&mut owner, &entry, START, req);
    let actions = step(
        &mut entry,
        START,
        peer_event(&to, PeerMessage::Placed(placed.clone())),
    );

    assert_eq!(to, owner.identity().vm);
    let server = &placed.server.expect("an engine is free").server;
    assert_eq!(dispatches(&actions)[0].server_name, *server);
}

#[test]
fn a_call_with_an_unresponsive_owner_goes_to_the_engine_that_the_owner_would_choose() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (_, req) = placement_query(&step(&mut entry, START, completion(1)));
    let placed = query_owner(&mut owner, &entry, START, req);

    let actions = step(&mut entry, after_owner_timeout(), Event::Tick);

    let server = placed.server.expect("an engine is free").server;
    assert_eq!(dispatches(&actions)[0].server_name, server);
}

#[test]
fn a_late_response_of_the_owner_dispatches_nothing() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = placement_query(&step(&mut entry, START, completion(1)));
    let placed = query_owner(&mut owner, &entry, START, req);
    let fallback = step(&mut entry, after_owner_timeout(), Event::Tick);

    let actions = step(
        &mut entry,
        after_owner_timeout(),
        peer_event(&to, PeerMessage::Placed(placed)),
    );

    assert_eq!(dispatches(&fallback).len(), 1);
    assert!(dispatches(&actions).is_empty());
}

#[test]
fn a_response_with_an_engine_outside_the_cell_is_not_used() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = placement_query(&step(&mut entry, START, completion(1)));
    let mut placed = query_owner(&mut owner, &entry, START, req);
    placed.server = Some(ServerInstance {
        server: "bookings/r1".to_owned(),
        incarnation: Incarnation(0),
    });

    let actions = step(
        &mut entry,
        START,
        peer_event(&to, PeerMessage::Placed(placed)),
    );

    assert!(dispatches(&actions)[0].server_name.starts_with("engine"));
}

#[test]
fn a_response_for_a_previous_incarnation_is_not_used() {
    let (mut entry, mut owner) = Fleet::new(3, 8).entry_and_owner();
    let (to, req) = placement_query(&step(&mut entry, START, completion(1)));
    let mut placed = query_owner(&mut owner, &entry, START, req);
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

    let actions = step(
        &mut entry,
        START,
        peer_event(&to, PeerMessage::Placed(placed)),
    );

    let dispatch = dispatches(&actions)[0];
    assert_eq!(dispatch.incarnation, Incarnation(2), "at {server}");
    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn an_owner_chooses_no_engine_that_failed_the_call() {
    let (entry, mut owner) = Fleet::new(3, 2).entry_and_owner();
    let mut node = Fleet::new(3, 2).entry_and_owner().0;
    let (_, mut req) = placement_query(&step(&mut node, START, completion(1)));
    req.avoid = vec!["engine1".to_owned()];

    let placed = query_owner(&mut owner, &entry, START, req);

    assert_eq!(
        placed.server.expect("another engine is left").server,
        "engine2"
    );
}

#[test]
fn an_owner_chooses_no_engine_for_an_unknown_workspace() {
    let (mut entry, mut owner) = Fleet::new(3, 2).entry_and_owner();
    let (_, mut req) = placement_query(&step(&mut entry, START, completion(1)));
    req.workspace = "unknown".to_owned();

    let placed = query_owner(&mut owner, &entry, START, req);

    assert_eq!(placed.server, None);
}

#[test]
fn prompts_with_a_shared_prefix_move_to_another_cell_when_theirs_is_overloaded() {
    let (mut entry, owner) = Fleet::new(3, 32).entry_and_owner();
    let (_, first) = placement_query(&step(&mut entry, START, completion(1)));
    let load = CellLoad {
        cell: first.cell,
        queued_tokens: 200_000,
        least_queued_tokens: 200_000,
    };
    let vm = owner.identity().vm.clone();
    step(
        &mut entry,
        START,
        peer_event(&vm, PeerMessage::CellLoad(vec![load])),
    );

    let actions = step(&mut entry, START, completion(2));

    let queried_cell = actions.iter().find_map(|action| match action {
        Action::SendPeer {
            message: PeerMessage::Place(req),
            ..
        } => Some(req.cell),
        _ => None,
    });
    assert_ne!(queried_cell, Some(first.cell));
}
