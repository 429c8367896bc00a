//! Time and bytes that a configuration takes to reach all routers.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use config::Config;
use policy::Action;
use policy::Event;
use policy::Identity;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::Node;
use policy::PeerMessage;
use policy::Time;

use crate::common::config;
use crate::common::START;

/// Time within which a change must be in force on all routers, in milliseconds.
const MAX_ROLLOUT_MS: u64 = 6_000;

/// Number of workspaces of the large configuration.
const WORKSPACES: u32 = 1_500;

/// Limit of the configuration bytes sent per change, as the mean over the routers.
const MAX_BYTES_PER_CHANGE: u64 = 8_000;

/// Routers that receive configurations only from each other, unless a test
/// passes one to a router.
struct Mesh {
    nodes: Vec<Node>,
    /// Pending events and their routers, by time and sequence number.
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    /// Number of messages sent.
    sent: u64,
    now: Time,
    /// One message out of this many is lost; 0 for no loss.
    lose_one_in: u64,
    /// Bytes of configurations and deltas sent, including lost ones.
    config_bytes: u64,
}

impl Mesh {
    /// Starts routers that all have version 1 in force.
    fn with_routers(routers: usize, lose_one_in: u64) -> Mesh {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let mut mesh = Mesh {
            nodes: (0..routers).map(new_node).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            now: START,
            lose_one_in,
            config_bytes: 0,
        };
        for router in 0..routers {
            mesh.handle_event(router, config_event(1));
            mesh.handle_event(router, Event::Members(members.clone()));
        }
        mesh.run_for(2_000);
        mesh.config_bytes = 0;
        mesh
    }

    /// Lets a router handle an event now, and sends the resulting messages.
    fn handle_event(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[router].handle(self.now, event, &mut out);
        for action in out {
            if let Action::SendPeer { to, message, .. } = action {
                self.send(router, &to, message);
            }
        }
        if let Some(at) = self.nodes[router].next_deadline() {
            self.enqueue(at.max(self.now), router, Event::Tick);
        }
    }

    /// Sends a message that arrives after 0.5 to 8.5 ms, or is lost.
    fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        self.config_bytes += config_message_bytes(&message);
        self.sent += 1;
        if self.lose_one_in > 0 && self.sent.is_multiple_of(self.lose_one_in) {
            return;
        }
        let to = to[2..].parse().expect("VM names end in a number");
        let delay_us = 500 + self.sent * 7_919 % 8_000;
        let from = format!("vm{from}");
        let at = self.now.plus_micros(delay_us);
        self.enqueue(at, to, Event::Peer { from, message });
    }

    fn enqueue(&mut self, at: Time, router: usize, event: Event) {
        let sequence = self.queue.len() as u64 + self.sent * 1_000_000;
        self.queue.insert((at, sequence), (router, event));
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now.plus_millis(ms);
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (router, event) = entry.remove();
            self.now = at;
            let deadline = self.nodes[router].next_deadline();
            if event != Event::Tick || deadline.is_some_and(|deadline| deadline <= at) {
                self.handle_event(router, event);
            }
        }
        self.now = end;
    }

    /// Runs until a version is in force on all routers and returns the time taken, in
    /// milliseconds. Panics if it exceeds [`MAX_ROLLOUT_MS`].
    fn run_until_applied(&mut self, version: u64) -> u64 {
        let start = self.now;
        while !self.all_have_version(version) {
            self.run_for(10);
            let ms = self.now.millis_since(start);
            assert!(ms <= MAX_ROLLOUT_MS, "version {version} is late");
        }
        self.now.millis_since(start)
    }

    fn all_have_version(&self, version: u64) -> bool {
        self.nodes.iter().all(|n| n.config_version() == version)
    }
}

/// Returns the size of the configuration or delta in a message, in bytes of JSON.
fn config_message_bytes(message: &PeerMessage) -> u64 {
    let json = match message {
        PeerMessage::Config { config, .. } => serde_json::to_vec(&**config),
        PeerMessage::ConfigDelta(delta) => serde_json::to_vec(&**delta),
        _ => return 0,
    };
    json.expect("it is plain JSON").len() as u64
}

fn new_node(router: usize) -> Node {
    let identity = Identity {
        vm: format!("vm{router}"),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: 1,
    };
    Node::new(identity, router as u64)
}

fn member(router: usize) -> Member {
    Member {
        name: format!("vm{router}"),
        role: MemberRole::Router,
        address: ([127, 0, 0, 1], 7_000).into(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: Incarnation(1),
        leaving: false,
    }
}

fn config_event(version: u64) -> Event {
    Event::Config {
        version,
        config: large_config(version),
    }
}

/// Returns a large configuration; two versions differ in one workspace.
fn large_config(version: u64) -> Arc<Config> {
    let mut cfg = (*config(3)).clone();
    let workspace = cfg.workspaces["trust"].clone();
    for i in 0..WORKSPACES {
        let mut workspace = workspace.clone();
        workspace.token_sha256 = format!("{i:064x}");
        cfg.workspaces.insert(format!("workspace{i}"), workspace);
    }
    let changed = cfg
        .workspaces
        .get_mut("trust")
        .expect("the workspace is declared");
    changed.share = u32::try_from(version).expect("versions are small");
    Arc::new(cfg)
}

#[test]
fn a_change_received_by_one_router_is_applied_by_nine_in_time() {
    let mut mesh = Mesh::with_routers(9, 0);

    mesh.handle_event(4, config_event(2));
    let ms = mesh.run_until_applied(2);

    println!("9 routers: {ms} ms");
    assert_eq!(mesh.nodes[0].config(), Some(&large_config(2)));
}

#[test]
fn a_change_received_by_one_router_is_applied_by_all_330_in_time() {
    let mut mesh = Mesh::with_routers(330, 0);

    mesh.handle_event(4, config_event(2));
    let ms = mesh.run_until_applied(2);

    let bytes = mesh.config_bytes / 330;
    println!("330 routers: {ms} ms, {bytes} bytes per router");
    assert_eq!(mesh.nodes[329].config(), Some(&large_config(2)));
    assert!(bytes < MAX_BYTES_PER_CHANGE, "{bytes} bytes per router");
}

#[test]
fn a_change_reaches_all_routers_when_a_third_of_the_messages_is_lost() {
    let mut mesh = Mesh::with_routers(330, 3);

    mesh.handle_event(4, config_event(2));
    mesh.run_for(5);
    mesh.handle_event(9, config_event(3));
    let ms = mesh.run_until_applied(3);

    println!("330 routers, a third lost: {ms} ms");
    assert_eq!(mesh.nodes[329].config(), Some(&large_config(3)));
}

#[test]
fn an_older_configuration_from_the_platform_or_a_peer_is_ignored() {
    let mut mesh = Mesh::with_routers(3, 0);
    mesh.handle_event(0, config_event(5));
    mesh.run_until_applied(5);

    mesh.handle_event(0, config_event(4));
    let message = PeerMessage::Config {
        version: 3,
        config: large_config(3),
    };
    let from = "vm2".to_owned();
    mesh.handle_event(1, Event::Peer { from, message });
    mesh.run_for(3_000);

    assert!(mesh.all_have_version(5));
}

#[test]
fn a_router_older_than_the_delta_log_receives_the_full_configuration() {
    let mut mesh = Mesh::with_routers(2, 0);
    let mut late = new_node(2);
    let mut out = Vec::new();
    late.handle(START, config_event(1), &mut out);
    late.handle(START, Event::Members(vec![member(0)]), &mut out);
    // More versions than the 32 deltas that a router keeps.
    for version in 2..60 {
        mesh.handle_event(0, config_event(version));
    }
    mesh.handle_event(0, Event::Members(vec![member(0), member(1), member(2)]));
    mesh.nodes.push(late);

    mesh.run_until_applied(59);

    assert_eq!(mesh.nodes[2].config(), Some(&large_config(59)));
}
