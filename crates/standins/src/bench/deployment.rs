//! Configuration and membership list of a simulated deployment.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use config::BackendServer;
use config::Config;
use config::CostWeights;
use config::Limits;
use config::Model;
use config::Priority;
use config::Workspace;
use policy::Identity;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;

use crate::bench::engine::Engine;
use crate::bench::setup::Setup;
use crate::bench::setup::DOMAINS_PER_REGION;
use crate::bench::setup::REGIONS;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::WORKSPACE_SHARES;

/// Name of the only model.
pub const MODEL: &str = "m";

/// Version of the model's weights.
pub const WEIGHTS_VERSION: u64 = 1;

/// Port of engine 0; the others follow in order.
const ENGINE_PORT: u16 = 10_000;

/// Returns the name of the VM of a router.
pub fn router_name(router: usize) -> String {
    format!("router{router:03}")
}

/// Returns the index of the router with this name.
pub fn router_index(name: &str) -> usize {
    name[6..].parse().expect("the name ends in a number")
}

/// Returns the name of an engine; names sort in the order of the indexes.
pub fn engine_name(engine: usize) -> String {
    format!("engine{engine:03}")
}

/// Returns the index of the engine at this address.
pub fn engine_index(address: SocketAddr) -> usize {
    usize::from(address.port() - ENGINE_PORT)
}

/// Returns the name of a workspace.
pub fn workspace_name(workspace: usize) -> String {
    format!("w{workspace}")
}

/// Returns the API token of a workspace, which also stands for its hash.
pub fn token(workspace: usize) -> String {
    format!("token{workspace}")
}

/// Returns the identity that a router starts with.
pub fn identity(setup: &Setup, router: usize, router_incarnation: u64) -> Identity {
    let region = setup.router_region(router);
    Identity {
        vm: router_name(router),
        region: region_name(region),
        failure_domain: domain_name(region, router),
        incarnation: router_incarnation,
    }
}

/// Returns the configuration, the same for a whole run.
pub fn config(setup: &Setup) -> Arc<Config> {
    let engines = (0..setup.engines).map(|i| (engine_name(i), backend_server_config(setup, i)));
    let workspaces =
        (0..WORKSPACE_SHARES.len()).map(|i| (workspace_name(i), workspace_config(setup, i)));
    let priorities = setup.kinds.iter().map(|kind| {
        let priority = Priority {
            rank: kind.rank,
            default_deadline_ms: kind.deadline_ms,
        };
        (kind.priority.to_owned(), priority)
    });
    let model = Model {
        weights_version: WEIGHTS_VERSION,
        prefill_ms_per_1000_tokens: setup.prefill_us_per_token,
        kv_bytes_per_token: setup.kv_bytes_per_token,
    };
    Arc::new(Config {
        workspaces: workspaces.collect(),
        models: BTreeMap::from([(MODEL.to_owned(), model)]),
        priorities: priorities.collect(),
        backend_servers: engines.collect(),
        services: BTreeMap::new(),
        limits: Limits::default(),
    })
}

/// Returns the membership list: all routers and the engines that are up.
pub fn members(setup: &Setup, engines: &[Engine], router_incarnations: &[u64]) -> Vec<Member> {
    let mut members: Vec<Member> = (0..ROUTERS)
        .map(|i| router_member(setup, i, router_incarnations[i]))
        .collect();
    for (i, engine) in engines.iter().enumerate() {
        if engine.up {
            members.push(engine_member(setup, i, engine.incarnation));
        }
    }
    members
}

fn router_member(setup: &Setup, router: usize, incarnation: u64) -> Member {
    let region = setup.router_region(router);
    Member {
        name: router_name(router),
        role: MemberRole::Router,
        address: address(1_000 + router as u16),
        region: region_name(region),
        failure_domain: domain_name(region, router),
        incarnation: Incarnation(incarnation),
        leaving: false,
    }
}

fn engine_member(setup: &Setup, engine: usize, incarnation: u64) -> Member {
    let region = setup.engine_region(engine);
    Member {
        name: engine_name(engine),
        role: MemberRole::BackendServer,
        address: address(ENGINE_PORT + engine as u16),
        region: region_name(region),
        failure_domain: domain_name(region, engine),
        incarnation: Incarnation(incarnation),
        leaving: false,
    }
}

fn backend_server_config(setup: &Setup, engine: usize) -> BackendServer {
    let region = setup.engine_region(engine);
    BackendServer {
        address: address(ENGINE_PORT + engine as u16),
        region: region_name(region),
        failure_domain: domain_name(region, engine),
        models: vec![MODEL.to_owned()],
        workspaces: Vec::new(),
        checks_fencing: true,
    }
}

fn workspace_config(setup: &Setup, workspace: usize) -> Workspace {
    Workspace {
        token_sha256: token(workspace),
        share: (WORKSPACE_SHARES[workspace] * 100.0) as u32,
        quota: Default::default(),
        weights: CostWeights {
            recompute_ms_per_1000_tokens: setup.recompute_ms_per_1000_tokens,
            cross_region_ms_per_mb: setup.cross_region_ms_per_mb,
        },
    }
}

fn region_name(region: usize) -> String {
    format!("region{region}")
}

fn domain_name(region: usize, vm: usize) -> String {
    format!("region{region}-{}", vm / REGIONS % DOMAINS_PER_REGION)
}

fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
