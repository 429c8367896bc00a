//! Randomised run of `turmerichollow forward` as real processes, with faults from outside them.
//!
//! Routers are killed, stopped, paused and started again, the store turns calls
//! away, backend servers misbehave, and links to both are delayed, reset, cut one
//! way or silent, in series and overlapping. Callers and backend servers keep the
//! ledger. `SOAK_SEEDS=a..b` runs other seeds, `SOAK_LOGS=dir` keeps the routers' logs.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::task::LocalSet;
use tokio::time::sleep;

use common::caller::Response;
use common::caller::Caller;
use common::configuration;
use common::fake_server::FakeServer;
use common::fake_server::Behavior;
use common::fake_store::FakeStore;
use common::free_address;
use common::proxy::Link;
use common::proxy::Proxy;

/// Routers that run at once.
const ROUTERS: usize = 3;

/// Backend servers that run at once.
const RUNNERS: usize = 4;

/// Callers that send one request after the other.
const CALLERS: usize = 6;

/// Time with faults, in milliseconds.
const FAULTY_MS: u64 = 6_000;

/// Time after the last fault by which every router serves, in milliseconds.
const RECOVERY_MS: u64 = 6_000;

/// Ways in which backend servers misbehave.
const MANNERS: [Behavior; 7] = [
    Behavior::Rejects,
    Behavior::Disconnects,
    Behavior::Fails,
    Behavior::CutsStreams,
    Behavior::WrongRequestId,
    Behavior::Hangs,
    Behavior::Ambiguous,
];

/// Ways in which links fail.
const LINKS: [Link; 5] = [
    Link::Delayed(30),
    Link::Delayed(400),
    Link::OneWay,
    Link::Blocked,
    Link::Resetting,
];

/// Kinds of requests, by their routes.
const PATHS: [&str; 4] = ["/once/a", "/plain/a", "/stream/a", "/fixed/a"];

/// A router that is started again after each end.
struct RouterProcess {
    settings: PathBuf,
    address: SocketAddr,
    child: RefCell<Child>,
}

impl RouterProcess {
    fn start(dir: &TempDir, name: &str, store: SocketAddr) -> RouterProcess {
        let address = free_address();
        let settings = dir.path().join(format!("{name}.json"));
        let text = json!({
            "name": name, "domain": "a", "regions": { "a": "r" },
            "listen": {
                "callers": address, "readiness": free_address(),
                "peer_port": free_address().port(), "metrics_port": free_address().port(),
            },
            "store": store, "stop_s": 3, "repeat_ratio": 0.2, "repeat_reserve": 60, "fenced": true,
        });
        std::fs::write(&settings, text.to_string()).unwrap();
        RouterProcess {
            child: RefCell::new(spawn(&settings)),
            settings,
            address,
        }
    }

    /// Sends a signal; returns the process that it went to.
    fn signal(&self, signal: Signal) -> u32 {
        let child = self.child.borrow();
        // A process that has just ended can't be signalled, and needn't be.
        let _ = kill_process(Pid::from_child(&child), signal);
        child.id()
    }

    /// Starts the router again once process `id` has ended, unless another fault did.
    async fn restart(&self, id: u32) {
        while !self.is_replaced(id) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Replaces process `id` if it has ended; tells whether another runs now.
    fn is_replaced(&self, id: u32) -> bool {
        let mut child = self.child.borrow_mut();
        if child.id() == id && child.try_wait().unwrap().is_some() {
            *child = spawn(&self.settings);
        }
        child.id() != id
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let mut child = self.child.borrow_mut();
        // The test ends either way.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Opens the log of a router, if logs are kept.
fn log_file(settings: &Path) -> Stdio {
    let Some(dir) = std::env::var_os("SOAK_LOGS") else {
        return Stdio::null();
    };
    let name = settings.with_extension("log");
    let path = Path::new(&dir).join(name.file_name().unwrap());
    let file = File::options().create(true).append(true).open(path);
    file.unwrap().into()
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_turmerichollow"))
        .arg("forward")
        .arg("--settings")
        .arg(settings)
        .stdout(log_file(settings))
        .spawn()
        .unwrap()
}

/// What a caller saw.
struct Seen {
    id: String,
    path: &'static str,
    answer: Response,
}

struct World {
    seed: u64,
    store: FakeStore,
    runners: Vec<FakeServer>,
    /// Links to the backend servers, and then of each router to the store.
    links: Vec<Proxy>,
    routers: Vec<RouterProcess>,
    ledger: RefCell<Vec<Seen>>,
    calm: Cell<bool>,
    _dir: TempDir,
}

impl World {
    async fn start(seed: u64) -> Rc<World> {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        let (mut runners, mut links) = (Vec::new(), Vec::new());
        for i in 0..RUNNERS {
            let runner = FakeServer::start(&format!("i-{i}")).await;
            let link = Proxy::start(runner.address).await;
            let entry = runner.registration_at(link.address, "ready");
            store.put(&format!("servers/i-{i}"), &entry);
            runners.push(runner);
            links.push(link);
        }
        let dir = TempDir::new().unwrap();
        let mut routers = Vec::new();
        for i in 0..ROUTERS {
            let link = Proxy::start(store.address).await;
            let name = format!("soak-{seed}-router-{i}");
            routers.push(RouterProcess::start(&dir, &name, link.address));
            links.push(link);
        }
        Rc::new(World {
            seed,
            routers,
            links,
            store,
            runners,
            ledger: RefCell::default(),
            calm: Cell::new(false),
            _dir: dir,
        })
    }

    fn executions(&self, id: &str) -> usize {
        self.runners.iter().map(|runner| runner.executions(id)).sum()
    }

    fn check(&self, seen: &Seen) {
        let Seen { id, path, answer } = seen;
        let at = format!("seed {} id {id} {path}", self.seed);
        let runs = self.executions(id);
        if *path == "/once/a" || *path == "/fixed/a" {
            assert!(runs <= 1, "{at}: ran {runs} times");
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) {
            assert_eq!(runs, 0, "{at}: refused as not run, and ran");
        }
        if answer.status == 200 && answer.complete {
            let answered = answer.request_id();
            assert_eq!(answered, Some(id.as_str()), "{at}: another's answer");
            assert_eq!(answer.text(), expected(path), "{at}");
        }
        if answer.status == 200 && !answer.complete && expected(path).len() > 4 {
            let text = answer.text();
            assert!(expected(path).starts_with(&text), "{at}: {text}");
        }
    }
}

fn expected(path: &str) -> String {
    match path {
        "/stream/a" | "/fixed/a" => (1..=5)
            .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
            .collect(),
        _ => "fine".to_owned(),
    }
}

async fn call(world: Rc<World>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed * 1_000 + caller as u64);
    for n in 0.. {
        if world.calm.get() {
            return;
        }
        let router = &world.routers[rng.random_range(0..ROUTERS)];
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("s{}-{caller}-{n}", world.seed);
        let method = if path == "/plain/a" { "GET" } else { "POST" };
        let body = if method == "GET" { "" } else { &id };
        let caller = Caller::new(router.address);
        let answer = caller.send(method, path, &id, "", body).await;
        world.ledger.borrow_mut().push(Seen { id, path, answer });
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Makes one fault and mends it.
async fn fault(world: Rc<World>, kind: u32, which: usize, for_ms: u64) {
    let router = &world.routers[which % ROUTERS];
    let runner = &world.runners[which % RUNNERS];
    let pause = Duration::from_millis(for_ms);
    match kind {
        0 => {
            let id = router.signal(Signal::KILL);
            router.restart(id).await;
        }
        1 => {
            let id = router.signal(Signal::TERM);
            router.restart(id).await;
        }
        2 => {
            router.signal(Signal::STOP);
            sleep(pause).await;
            router.signal(Signal::CONT);
        }
        3 => {
            world.store.down.set(true);
            sleep(pause).await;
            world.store.down.set(false);
        }
        4 => {
            router.signal(Signal::HUP);
        }
        5 => {
            let version = 2 + for_ms;
            world.store.put("op/config", &configuration(version));
        }
        6..=8 => {
            let link = &world.links[which % world.links.len()];
            link.set(LINKS[which % LINKS.len()]);
            sleep(pause).await;
            link.set(Link::Open);
        }
        _ => {
            runner.behavior.set(MANNERS[which % MANNERS.len()]);
            sleep(pause).await;
            runner.behavior.set(Behavior::Serves);
        }
    }
}

async fn trouble(world: Rc<World>) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed);
    let mut faults = Vec::new();
    let mut left_ms = FAULTY_MS;
    while left_ms > 0 {
        let gap_ms = rng.random_range(50..600).min(left_ms);
        left_ms -= gap_ms;
        sleep(Duration::from_millis(gap_ms)).await;
        let (kind, which) = (rng.random_range(0..12), rng.random_range(0..1_000));
        let for_ms = rng.random_range(100..1_500);
        faults.push(spawn_local(fault(Rc::clone(&world), kind, which, for_ms)));
    }
    for fault in faults {
        fault.await.unwrap();
    }
}

async fn recover(world: &World) {
    for router in &world.routers {
        let caller = Caller::new(router.address);
        let mut served = false;
        for _ in 0..RECOVERY_MS / 50 {
            served = caller.get("/plain/a").await.status == 200;
            if served {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert!(
            served,
            "seed {}: {} serves nothing",
            world.seed, router.address
        );
    }
}

fn soak(seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::start(seed).await;
        recover(&world).await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| spawn_local(call(Rc::clone(&world), caller)))
            .collect();
        trouble(Rc::clone(&world)).await;
        recover(&world).await;
        world.calm.set(true);
        for caller in callers {
            caller.await.unwrap();
        }
        let ledger = world.ledger.borrow();
        ledger.iter().for_each(|seen| world.check(seen));
        let served = ledger.iter().filter(|seen| seen.answer.status == 200);
        let served = served.count();
        println!("seed {seed}: {} requests, {served} served", ledger.len());
        assert!(served * 4 > ledger.len(), "seed {seed}: few are served");
    });
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(1..3)
}

#[test]
fn promises_hold_while_processes_and_neighbours_fail() {
    for seed in seeds() {
        soak(seed);
    }
}
