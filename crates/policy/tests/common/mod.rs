//! Fixtures: a small configuration, a router that has it in force, and requests.

#![allow(dead_code, reason = "each test target uses some of the fixtures")]

use std::collections::BTreeMap;
use std::sync::Arc;

use config::BackendServer;
use config::Call;
use config::Config;
use config::Model;
use config::Service;
use config::Workspace;
use policy::Action;
use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Generate;
use policy::Identity;
use policy::Node;
use policy::PrefixHash;
use policy::ServiceCall;
use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;
use policy::Work;

/// Time at which each test begins.
pub const START: Time = Time::from_millis(1_800_000_000_000);

/// Hash of the token of the only workspace.
pub const TOKEN_HASH: &str = "token-hash";

/// Idempotency key, a UUID whose timestamp is [`START`].
pub const IDEMPOTENCY_KEY: &str = "01a3185c-5000-7000-8000-000000000001";

/// Returns a configuration with `engines` engines and a service of two replicas.
pub fn config(engines: u16) -> Arc<Config> {
    let workspace = Workspace {
        token_sha256: TOKEN_HASH.to_owned(),
        share: 1,
        quota: Default::default(),
        weights: Default::default(),
    };
    let model = Model {
        weights_version: 1,
        prefill_ms_per_1000_tokens: 40.0,
        kv_bytes_per_token: 2_000,
    };
    let service = Service {
        replicas: BTreeMap::from([
            ("r1".to_owned(), address(9_001)),
            ("r2".to_owned(), address(9_002)),
        ]),
        calls: vec![call("GET", "/", true), call("POST", "/", false)],
    };
    Arc::new(Config {
        workspaces: BTreeMap::from([("trust".to_owned(), workspace)]),
        models: BTreeMap::from([("long".to_owned(), model)]),
        backend_servers: (1..=engines).map(engine).collect(),
        services: BTreeMap::from([("bookings".to_owned(), service)]),
        ..Config::default()
    })
}

/// Returns a router that has this configuration in force.
pub fn node(cfg: &Arc<Config>) -> Node {
    let identity = Identity {
        vm: "vm1".to_owned(),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        incarnation: 1,
    };
    let mut node = Node::new(identity, 1);
    let event = Event::Config {
        version: 1,
        config: cfg.clone(),
    };
    step(&mut node, START, event);
    node
}

/// Handles one event and returns the resulting actions.
pub fn step(node: &mut Node, now: Time, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    node.handle(now, event, &mut out);
    out
}

/// Handles one event and responds to all resulting requests to the key-value
/// service as an empty one would; returns all actions.
pub fn step_with_empty_store(node: &mut Node, now: Time, event: Event) -> Vec<Action> {
    let mut actions = step(node, now, event);
    let mut processed = 0;
    while processed < actions.len() {
        assert!(processed < 10_000, "the requests to the service do not end");
        if let Action::Store { op, request } = &actions[processed] {
            let result = match request {
                StoreRequest::Get { .. } => StoreResult::Absent,
                StoreRequest::CompareAndSwap { .. } => StoreResult::Written { version: 1 },
            };
            let event = Event::Store { op: *op, result };
            let caused = step(node, now, event);
            actions.extend(caused);
        }
        processed += 1;
    }
    actions
}

/// Returns a request for a completion.
pub fn completion(call: u64) -> Event {
    completion_with_fingerprint(call, 7)
}

/// Returns a request for a completion with this fingerprint.
pub fn completion_with_fingerprint(call: u64, fingerprint: u64) -> Event {
    let work = Work::Generate(Generate {
        model: "long".to_owned(),
        blocks: vec![PrefixHash(1), PrefixHash(2)],
        prompt_tokens: 5_000,
        max_tokens: 100,
    });
    request_with_fingerprint(call, fingerprint, work)
}

/// Returns a request for a booking, which may run at most once, with an idempotency key.
pub fn booking(call: u64, key: &str) -> Event {
    let work = Work::Service(ServiceCall {
        service: "bookings".to_owned(),
        method: "POST".to_owned(),
        path: "/blocks".to_owned(),
        key: Some(key.to_owned()),
    });
    request(call, work)
}

/// Returns a request for a lookup, which is idempotent.
pub fn lookup(call: u64) -> Event {
    let work = Work::Service(ServiceCall {
        service: "bookings".to_owned(),
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        key: None,
    });
    request(call, work)
}

fn request(call: u64, work: Work) -> Event {
    request_with_fingerprint(call, 7, work)
}

fn request_with_fingerprint(call: u64, fingerprint: u64, work: Work) -> Event {
    Event::Call(Box::new(CallRequest {
        call: CallId(call),
        token_sha256: TOKEN_HASH.to_owned(),
        priority: None,
        deadline: None,
        fingerprint,
        work,
    }))
}

fn call(method: &str, path_prefix: &str, idempotent: bool) -> Call {
    Call {
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
        idempotent,
    }
}

fn engine(i: u16) -> (String, BackendServer) {
    let server = BackendServer {
        address: address(8_000 + i),
        region: "east".to_owned(),
        failure_domain: "east-1".to_owned(),
        models: vec!["long".to_owned()],
        workspaces: Vec::new(),
        checks_fencing: true,
    };
    (format!("engine{i}"), server)
}

fn address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}
