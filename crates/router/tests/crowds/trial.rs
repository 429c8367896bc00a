//! A router process with lowered limits, before a crowd of callers.
//!
//! Checks don't depend on the speed of the machine: the process keeps running, its memory and descriptors
//! stay below their bounds, an ordinary request is answered while the crowd is connected, and the process
//! ends on a signal. Each test holds a lock, so that one runs at a time.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::common::caller::Caller;
use crate::common::configuration;
use crate::common::fake_store::FakeStore;
use crate::common::free_address;
use crate::common::run_within;
use crate::common::wire;
use crate::crowd_caller::request;
use crate::crowd_caller::Reading;
use crate::crowd_server;
use crate::process_usage::ProcessUsage;
use crate::router_process::settings;
use crate::router_process::RouterProcess;

/// Memory of the router's VM, in mebibytes.
pub const MEMORY_MB: u64 = 64;

/// Descriptors that the router may have open, where a crowd takes connections.
pub const DESCRIPTORS: usize = 400;

/// Time for which a crowd is watched.
pub const WATCHED: Duration = Duration::from_secs(8);

/// Time in which an ordinary request has its answer; far longer than it takes.
pub const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Time that a stop may take, in seconds, and in which the process must have ended.
pub const STOP_S: u64 = 3;
pub const STOP_TIME: Duration = Duration::from_secs(20);

/// Limit on a test.
const LIMIT: Duration = Duration::from_secs(120);

/// Time limit of all routes, in milliseconds.
const ROUTE_MS: u64 = 14_000;

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::new(());

/// A router process before a server and a store, and the tasks of the callers of a crowd.
pub struct Trial {
    pub router: RouterProcess,
    listen: Value,
    callers: Vec<JoinHandle<()>>,
    store: FakeStore,
    dir: TempDir,
}

impl Trial {
    /// Starts a router with the bounds of these tests.
    pub async fn start() -> Trial {
        Trial::start_with(json!({ "memory_mb": MEMORY_MB })).await
    }

    /// Starts a router with the fields of `extra` in its settings.
    pub async fn start_with(extra: Value) -> Trial {
        let registration = crowd_server::start().await;
        Trial::start_before(registration, extra).await
    }

    /// Starts a router before a server with a registration.
    pub async fn start_before(registration: Value, extra: Value) -> Trial {
        let store = FakeStore::start().await;
        store.put("op/config", &patient_configuration());
        store.put("servers/i-0", &registration);
        let dir = TempDir::new().unwrap();
        let mut settings = settings("router", store.address, STOP_S);
        settings["listen"]["bootstrap"] = json!(free_address());
        for (field, value) in extra.as_object().unwrap() {
            settings[field] = value.clone();
        }
        let router = RouterProcess::start_with_settings(&dir, settings.clone());
        while Caller::new(router.address).get("/plain/ready").await.status != 200 {
            sleep(Duration::from_millis(50)).await;
        }
        Trial {
            router,
            listen: settings["listen"].clone(),
            callers: Vec::new(),
            store,
            dir,
        }
    }

    /// Adds `count` callers, each of which runs `act` with its number.
    pub fn add_callers<F, A>(&mut self, count: usize, act: F)
    where
        F: Fn(usize) -> A,
        A: Future<Output = ()> + 'static,
    {
        self.callers.extend((0..count).map(act).map(spawn_local));
    }

    /// Adds `count` callers that ask for `path` and read in a way.
    pub fn add_readers(&mut self, count: usize, path: &'static str, reading: Reading) {
        let address = self.router.address;
        self.add_callers(count, |i| async move {
            request(address, path, &format!("crowd-{i}"), reading).await;
            // A caller whose connection was closed doesn't come again.
        });
    }

    /// Writes an item to the store.
    pub fn put(&self, key: &str, value: &Value) {
        self.store.put(key, value);
    }

    /// Registers `count` backend servers of another service, to which no request goes.
    pub fn register_others(&self, count: usize) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut registration = wire::registration(address, 1);
        registration["Service"] = json!("other");
        for i in 0..count {
            let address = format!("127.0.{}.{}:1", i / 250 + 1, i % 250 + 1);
            registration["Address"] = json!(address);
            let key = format!("servers/other-{i}-{}", "x".repeat(100));
            self.store.put(&key, &registration);
        }
    }

    /// Starts another router on the same store.
    pub fn start_another_router(&self) -> RouterProcess {
        RouterProcess::start(&self.dir, "another-router", self.store.address)
    }

    /// Returns an address at which the router listens.
    pub fn address(&self, field: &str) -> SocketAddr {
        let port = match &self.listen[field] {
            Value::String(address) => return address.parse().unwrap(),
            port => u16::try_from(port.as_u64().unwrap()).unwrap(),
        };
        SocketAddr::new(self.router.address.ip(), port)
    }

    /// Watches the router with the crowd, and checks memory, descriptors, one ordinary request and the end
    /// of the process.
    pub async fn check(self, descriptors: usize) {
        check_router(&self.router, descriptors, ordinary_request).await;
    }
}

/// Watches a router with a crowd, and checks memory, descriptors, the status of one ordinary request and the
/// end of the process.
pub async fn check_router<F, R>(router: &RouterProcess, descriptors: usize, ordinary_request: F)
where
    F: FnOnce(SocketAddr) -> R,
    R: Future<Output = u16>,
{
    let peak = ProcessUsage::peak(router.id(), WATCHED).await;
    let status = timeout(ANSWER_TIME, ordinary_request(router.address)).await;
    let status = status.unwrap_or(0);
    let after = ProcessUsage::of(router.id());
    let lives = router.runs();
    router.signal(Signal::TERM);
    let ended = timeout(STOP_TIME, async {
        while router.runs() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let ended = ended.await.is_ok();

    let memory_mb = peak.memory_bytes.max(after.memory_bytes) >> 20;
    let most = peak.descriptors.max(after.descriptors);
    println!("{memory_mb} MB, {most} descriptors, ordinary request: {status}");
    assert!(lives, "the process has ended");
    assert!(memory_mb < MEMORY_MB, "{memory_mb} MB");
    assert!(most <= descriptors, "{most} descriptors");
    assert_eq!(status, 200, "an ordinary request");
    assert!(ended, "the process doesn't end when told to");
}

/// Returns a configuration that lets callers take their time.
pub fn patient_configuration() -> Value {
    let mut cfg = configuration(1);
    for route in cfg["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(ROUTE_MS);
    }
    cfg["Services"][0]["MaxConnections"] = json!(4_000);
    cfg["Limits"]["MaxBodyBytes"] = json!(4_000_000);
    cfg
}

/// Returns the status of the answer to one ordinary request.
async fn ordinary_request(address: SocketAddr) -> u16 {
    let caller = Caller::new(address);
    caller.post("/plain/ordinary", "ordinary").await.status
}

/// Runs a test of a crowd while no other one runs.
pub fn alone<F>(test: F)
where
    F: Future<Output = ()>,
{
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run_within(LIMIT, test);
}
