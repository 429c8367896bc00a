//! Settings of a fleet on loopback and the configuration made from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use config::sha256_hex;
use config::BackendServer;
use config::Call;
use config::Config;
use config::Limits;
use config::Model;
use config::Priority;
use config::Service;
use config::Workspace;
use serde::Serialize;
use serde_json::json;

use crate::EngineSettings;

/// Name of the model that all engines of a fleet serve.
pub const MODEL: &str = "base";

/// Name of the fleet's plain service.
pub const SERVICE: &str = "bookings";

/// Names of the workspaces of a fleet.
pub const WORKSPACES: [&str; 2] = ["trust", "school"];

/// Time to compute 1,000 tokens at a rate of 1 token per millisecond, in milliseconds.
const MS_PER_1000_TOKENS: f64 = 1_000.0;

/// Settings of a fleet on loopback.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Settings of each engine.
    pub engines: Vec<EngineSettings>,
    /// Number of routers started with the fleet.
    pub routers: usize,
    /// Version of the weights in the configuration.
    pub weights_version: u64,
    /// Time in which an engine loads weights, in milliseconds.
    pub load_ms: u64,
    /// Time between the announcement that a router shuts down and its first refusal, in
    /// milliseconds.
    pub shutdown_notice_ms: u64,
    /// Limits in the configuration.
    pub limits: Limits,
}

impl FleetSettings {
    /// Returns the settings of a fleet with the given numbers of default engines and routers.
    pub fn new(engines: usize, routers: usize) -> FleetSettings {
        let engine = |number| EngineSettings {
            name: format!("engine-{number}"),
            ..EngineSettings::default()
        };
        FleetSettings {
            engines: (1..=engines).map(engine).collect(),
            routers,
            weights_version: 1,
            load_ms: 20,
            shutdown_notice_ms: 0,
            limits: Limits::default(),
        }
    }

    /// Applies `change` to the settings of each engine.
    pub fn each_engine<F>(mut self, change: F) -> FleetSettings
    where
        F: Fn(&mut EngineSettings),
    {
        self.engines.iter_mut().for_each(change);
        self
    }
}

/// Returns the API token of a workspace.
pub fn token_of(workspace: &str) -> String {
    format!("{workspace}-token")
}

/// Returns the operators' configuration files by name, for components at these addresses.
pub(crate) fn files(
    settings: &FleetSettings,
    engines: &[SocketAddr],
    service: SocketAddr,
) -> BTreeMap<String, String> {
    let config = config(settings, engines, service);
    let file = |name: &str, field: &str, value: serde_json::Value| {
        (name.to_owned(), json!({ field: value }).to_string())
    };
    BTreeMap::from([
        file("10-workspaces.json", "workspaces", json(&config.workspaces)),
        file("20-models.json", "models", json(&config.models)),
        file("30-priorities.json", "priorities", json(&config.priorities)),
        file(
            "40-backend-servers.json",
            "backend_servers",
            json(&config.backend_servers),
        ),
        file("50-services.json", "services", json(&config.services)),
        file("60-limits.json", "limits", json(&config.limits)),
    ])
}

fn json<T>(value: &T) -> serde_json::Value
where
    T: Serialize,
{
    serde_json::to_value(value).unwrap_or_default()
}

fn config(settings: &FleetSettings, engines: &[SocketAddr], service: SocketAddr) -> Config {
    let workspaces = WORKSPACES.map(|name| (name.to_owned(), workspace(name)));
    let servers = settings.engines.iter().zip(engines);
    let servers = servers.map(|(engine, address)| backend_server(engine, *address));
    let service = (SERVICE.to_owned(), plain_service(service));
    Config {
        workspaces: BTreeMap::from(workspaces),
        models: BTreeMap::from([(MODEL.to_owned(), model(settings))]),
        priorities: BTreeMap::from([
            ("counter".to_owned(), priority(2)),
            ("review".to_owned(), priority(1)),
        ]),
        backend_servers: servers.collect(),
        services: BTreeMap::from([service]),
        limits: settings.limits,
    }
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        token_sha256: sha256_hex(token_of(name).as_bytes()),
        share: 1,
        quota: config::Quota::default(),
        weights: config::CostWeights::default(),
    }
}

/// Returns the configuration of the model, with the prefill rate of the slowest engine.
fn model(settings: &FleetSettings) -> Model {
    let rates = settings.engines.iter();
    let rates = rates.map(|engine| engine.prefill_tokens_per_ms);
    let rate = u32::try_from(rates.min().unwrap_or(1)).unwrap_or(u32::MAX);
    Model {
        weights_version: settings.weights_version,
        prefill_ms_per_1000_tokens: MS_PER_1000_TOKENS / f64::from(rate.max(1)),
        kv_bytes_per_token: 2_000,
    }
}

fn priority(rank: u8) -> Priority {
    Priority {
        rank,
        default_deadline_ms: 60_000,
    }
}

fn backend_server(engine: &EngineSettings, address: SocketAddr) -> (String, BackendServer) {
    let server = BackendServer {
        address,
        region: engine.region.clone(),
        failure_domain: engine.failure_domain.clone(),
        models: vec![MODEL.to_owned()],
        workspaces: Vec::new(),
        checks_fencing: engine.checks_fencing,
    };
    (engine.name.clone(), server)
}

fn plain_service(address: SocketAddr) -> Service {
    let call = |method: &str, path_prefix: &str, idempotent| Call {
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
        idempotent,
    };
    Service {
        replicas: BTreeMap::from([("service-1".to_owned(), address)]),
        calls: vec![
            call("GET", "/", true),
            call("POST", "/stock", true),
            call("POST", "/", false),
        ],
    }
}
