//! Configurations of the simulated deployment, and names of its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::BackendServer;
use config::Call;
use config::Config;
use config::Model;
use config::Service;
use config::Workspace;

/// Token hash of the only workspace.
pub(crate) const TOKEN_HASH: &str = "token-hash";

/// Name of the only workspace.
pub(crate) const WORKSPACE: &str = "trust";

/// Name of the only model.
pub(crate) const MODEL: &str = "long";

/// Name of the plain service.
pub(crate) const SERVICE: &str = "bookings";

/// Number of replicas of the plain service.
pub(crate) const REPLICAS: usize = 3;

/// Version of the model's weights.
pub(crate) const WEIGHTS_VERSION: u64 = 1;

/// Returns the address of a server: localhost with port `base + index`.
pub(crate) fn address(base: usize, index: usize) -> SocketAddr {
    let port = u16::try_from(base + index).expect("port numbers fit in u16");
    ([127, 0, 0, 1], port).into()
}

/// Returns the configuration of a version. The workspace's share equals the version,
/// so that a router's applied content can be checked against its version number.
pub(crate) fn config(engines: usize, version: u64) -> Arc<Config> {
    let share = u32::try_from(version).expect("versions fit in u32");
    let workspace = Workspace {
        token_sha256: TOKEN_HASH.to_owned(),
        share,
        quota: Default::default(),
        weights: Default::default(),
    };
    let model = Model {
        weights_version: WEIGHTS_VERSION,
        prefill_ms_per_1000_tokens: 10.0,
        kv_bytes_per_token: 2_000,
    };
    Arc::new(Config {
        workspaces: BTreeMap::from([(WORKSPACE.to_owned(), workspace)]),
        models: BTreeMap::from([(MODEL.to_owned(), model)]),
        backend_servers: (0..engines).map(engine).collect(),
        services: BTreeMap::from([(SERVICE.to_owned(), service())]),
        ..Config::default()
    })
}

fn engine(index: usize) -> (String, BackendServer) {
    let domain = index % 3;
    let server = BackendServer {
        address: address(8_000, index),
        region: format!("region{domain}"),
        failure_domain: format!("domain{domain}"),
        models: vec![MODEL.to_owned()],
        workspaces: Vec::new(),
        checks_fencing: true,
    };
    (engine_name(index), server)
}

fn service() -> Service {
    let call = |method: &str, idempotent| Call {
        method: method.to_owned(),
        path_prefix: "/".to_owned(),
        idempotent,
    };
    Service {
        replicas: (0..REPLICAS)
            .map(|i| (format!("r{i}"), address(9_000, i)))
            .collect(),
        calls: vec![call("GET", true), call("POST", false)],
    }
}

/// Returns the server name of an engine.
pub(crate) fn engine_name(index: usize) -> String {
    format!("engine{index}")
}

/// Returns the name of a router's VM.
pub(crate) fn vm_name(index: usize) -> String {
    format!("vm{index}")
}

/// Returns the index at the end of a VM, engine or replica name.
pub(crate) fn index_of(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("names end in a number")
}
