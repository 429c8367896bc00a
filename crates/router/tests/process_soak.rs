//! Randomized soak test of routers and backend servers as real processes, with responses of all
//! framings. Servers and routers are killed within responses, terminated and paused, and proxies
//! before the servers close connections regularly, reset or hold them, overlapping. Some callers don't
//! behave: they stop reading, drip, and hold heads, bodies and connections.
//! `PROCESS_SOAK_SEEDS=a..b` runs other seeds.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "processes/odd_caller.rs"]
mod odd_caller;
#[path = "processes/process_usage.rs"]
mod process_usage;
#[path = "processes/router_process.rs"]
mod router_process;
#[path = "processes/server_process.rs"]
mod server_process;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::task::spawn_blocking;
use tokio::task::spawn_local;
use tokio::time::sleep;

use common::caller::Caller;
use common::caller::Response;
use common::configuration;
use common::fake_store::FakeStore;
use common::proxy::Link;
use common::proxy::Proxy;
use common::run_within;
use odd_caller::OddCaller;
use process_usage::ProcessUsage;
use router_process::settings;
use router_process::RouterProcess;
use server_process::whole_body;
use server_process::ServerProcess;
use server_process::FRAMINGS;

/// Number of routers.
const ROUTERS: usize = 2;

/// Number of backend servers with each framing.
const SERVERS_EACH: usize = 3;

/// Number of callers; each sends one request at a time.
const CALLERS: usize = 12;

/// Number of callers that don't behave; each has one connection at a time.
const ODD_CALLERS: usize = 40;

/// Memory of a router's VM, in mebibytes, and its descriptors.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 400;

/// Interval at which the memory and descriptors of the routers are checked.
const USAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Period during which faults are injected, in milliseconds.
const FAULTS_MS: u64 = 5_000;

/// Time after the last fault within which each router must serve again, in milliseconds.
const RECOVERY_MS: u64 = 6_000;

/// Time that a router may take to stop, in seconds.
const STOP_S: u64 = 3;

/// Limit on a run of one seed.
const LIMIT: Duration = Duration::from_secs(60);

/// Ways in which links fail.
const LINKS: [Link; 5] = [
    Link::Closing,
    Link::Resetting,
    Link::Closing,
    Link::Blocked,
    Link::Delayed(60),
];

/// Kinds of requests, by their routes.
const PATHS: [&str; 4] = ["/once/a", "/plain/a", "/stream/a", "/fixed/a"];

/// A response, with the events that the caller had of the stream before it.
struct Recorded {
    id: String,
    path: &'static str,
    earlier: String,
    response: Response,
}

impl Recorded {
    fn text(&self) -> String {
        format!("{}{}", self.earlier, self.response.text())
    }

    /// Returns the whole events that the caller has of a stream that it may take up.
    fn resumable(&self) -> Option<String> {
        let text = self.text();
        let end = text.rfind("\n\n")? + 2;
        let broke_off = self.response.status == 200 && !self.response.complete;
        (self.path == "/stream/a" && broke_off).then(|| text[..end].to_owned())
    }

    fn check(&self, seed: u64, executions: usize) {
        let Recorded {
            id, path, response, ..
        } = self;
        let at = format!("seed {seed} id {id} {path}");
        let may_repeat = matches!(*path, "/plain/a" | "/stream/a");
        assert!(
            may_repeat || executions <= 1,
            "{at}: ran {executions} times"
        );
        if matches!(response.status, 408 | 421 | 429 | 503) {
            assert_eq!(executions, 0, "{at}: refused as not run, but ran");
        }
        if response.status != 200 {
            return;
        }
        let (text, whole) = (self.text(), whole_body(path));
        if response.complete {
            assert_eq!(text, whole, "{at}: looks complete");
        } else {
            assert!(whole.starts_with(&text), "{at}: {text}");
        }
    }
}

struct World {
    seed: u64,
    store: FakeStore,
    servers: Vec<ServerProcess>,
    /// Link to each server.
    links: Vec<Proxy>,
    routers: Vec<RouterProcess>,
    responses: RefCell<Vec<Recorded>>,
    /// Ids of the requests of callers that don't behave, none of which may be repeated.
    odd_requests: RefCell<Vec<String>>,
    stopping: Cell<bool>,
    _dir: TempDir,
}

impl World {
    async fn start(seed: u64) -> Rc<World> {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        let dir = TempDir::new().unwrap();
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for i in 0..FRAMINGS.len() * SERVERS_EACH {
            let framing = FRAMINGS[i % FRAMINGS.len()];
            let server = ServerProcess::start(&dir, &format!("i-{i}"), framing).await;
            links.push(Proxy::start(server.address).await);
            servers.push(server);
        }
        let name = |i| format!("process-soak-{seed}-router-{i}");
        let routers = (0..ROUTERS).map(|i| {
            let mut settings = settings(&name(i), store.address, STOP_S);
            settings["memory_mb"] = json!(MEMORY_MB);
            settings["max_descriptors"] = json!(DESCRIPTORS);
            RouterProcess::start_with_settings(&dir, settings)
        });
        let world = World {
            seed,
            routers: routers.collect(),
            store,
            servers,
            links,
            responses: RefCell::default(),
            odd_requests: RefCell::default(),
            stopping: Cell::new(false),
            _dir: dir,
        };
        (0..world.servers.len()).for_each(|server| world.register(server));
        Rc::new(world)
    }

    fn register(&self, server: usize) {
        let registration = self.servers[server].registration_at(self.links[server].address);
        let key = format!("servers/{}", self.servers[server].id);
        self.store.put(&key, &registration);
    }

    fn executions(&self, id: &str) -> usize {
        let executions = self.servers.iter().map(|server| server.executions(id));
        executions.sum()
    }

    async fn send(&self, router: usize, path: &'static str, id: &str, earlier: String) -> Recorded {
        let headers = if earlier.is_empty() {
            String::new()
        } else {
            let events = earlier.matches("\n\n").count();
            let resumes = id.trim_end_matches("-again");
            format!("Last-Event-Id: {events}\r\nResumes: {resumes}\r\n")
        };
        let caller = Caller::new(self.routers[router].address);
        // A request that is sent again and again counts as one that crashes servers.
        let response = caller.send("POST", path, id, &headers, id).await;
        Recorded {
            id: id.to_owned(),
            path,
            earlier,
            response,
        }
    }
}

async fn run_caller(world: Rc<World>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed * 1_000 + caller as u64);
    for n in 0.. {
        if world.stopping.get() {
            return;
        }
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("p{}-{caller}-{n}", world.seed);
        let mut router = || rng.random_range(0..ROUTERS);
        let recorded = world.send(router(), path, &id, String::new()).await;
        let resumable = recorded.resumable();
        world.responses.borrow_mut().push(recorded);
        if let Some(earlier) = resumable {
            let again = format!("{id}-again");
            let again = world.send(router(), path, &again, earlier).await;
            world.responses.borrow_mut().push(again);
        }
        sleep(Duration::from_millis(rng.random_range(1..20))).await;
    }
}

/// Misbehaves on one connection after the other.
async fn run_odd_caller(world: Rc<World>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed * 1_000 + 500 + caller as u64);
    for n in 0.. {
        if world.stopping.get() {
            return;
        }
        let id = format!("odd{}-{caller}-{n}", world.seed);
        let router = &world.routers[rng.random_range(0..ROUTERS)];
        let time = Duration::from_millis(rng.random_range(100..3_000));
        let odd_caller = OddCaller::draw(&mut rng);
        world.odd_requests.borrow_mut().push(id.clone());
        odd_caller
            .misbehave(router.address, "/once/p", &id, time)
            .await;
    }
}

/// Checks at an interval what the routers hold. The kernel's tables take some time to read, for which the
/// test's thread must not stand still: it is the network between the processes.
async fn watch_usage(world: Rc<World>) {
    while !world.stopping.get() {
        for router in &world.routers {
            let id = router.id();
            let usage = spawn_blocking(move || ProcessUsage::of(id)).await.unwrap();
            let at = format!("seed {}: {usage:?}", world.seed);
            assert!(usage.memory_bytes >> 20 < MEMORY_MB, "{at}");
            assert!(usage.descriptors <= DESCRIPTORS, "{at}");
        }
        sleep(USAGE_INTERVAL).await;
    }
}

/// Injects one fault for `duration_ms` milliseconds and then removes it.
async fn inject_fault(world: Rc<World>, fault_kind: u32, target: usize, duration_ms: u64) {
    let router = &world.routers[target % ROUTERS];
    let server = target % world.servers.len();
    let pause = Duration::from_millis(duration_ms);
    match fault_kind {
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
        3..=6 => {
            let link = LINKS[target % LINKS.len()];
            world.links[server].set_for(link, pause).await;
        }
        _ => {
            // Another fault may have killed it and be about to start it again.
            if world.servers[server].kill() {
                sleep(pause).await;
                world.servers[server].restart().await;
                world.register(server);
            }
        }
    }
}

async fn inject_faults(world: &Rc<World>) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed);
    let mut faults = Vec::new();
    let mut left_ms = FAULTS_MS;
    while left_ms > 0 {
        let gap_ms = rng.random_range(20..250).min(left_ms);
        left_ms -= gap_ms;
        sleep(Duration::from_millis(gap_ms)).await;
        let fault_kind = rng.random_range(0..12);
        let target = rng.random_range(0..1_000);
        let duration_ms = rng.random_range(150..1_500);
        let fault = inject_fault(Rc::clone(world), fault_kind, target, duration_ms);
        faults.push(spawn_local(fault));
    }
    for fault in faults {
        fault.await.unwrap();
    }
}

async fn wait_until_all_serve(world: &World) {
    for router in &world.routers {
        let caller = Caller::new(router.address);
        let mut served = false;
        for _ in 0..RECOVERY_MS / 50 {
            served = caller.get("/plain/ready").await.status == 200;
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

async fn soak(seed: u64) {
    let world = World::start(seed).await;
    wait_until_all_serve(&world).await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| spawn_local(run_caller(Rc::clone(&world), caller)))
        .collect();
    let odd_callers: Vec<_> = (0..ODD_CALLERS)
        .map(|caller| spawn_local(run_odd_caller(Rc::clone(&world), caller)))
        .collect();
    let usage = spawn_local(watch_usage(Rc::clone(&world)));
    inject_faults(&world).await;
    wait_until_all_serve(&world).await;
    world.stopping.set(true);
    usage.await.unwrap();
    for caller in callers.into_iter().chain(odd_callers) {
        caller.await.unwrap();
    }
    for id in world.odd_requests.borrow().iter() {
        assert!(world.executions(id) <= 1, "seed {seed}: {id} ran again");
    }
    let responses = world.responses.borrow();
    for recorded in responses.iter() {
        recorded.check(seed, world.executions(&recorded.id));
    }
    let complete = responses
        .iter()
        .filter(|recorded| recorded.response.complete);
    let served = complete
        .filter(|recorded| recorded.response.status == 200)
        .count();
    println!("seed {seed}: {} requests, {served} served", responses.len());
    assert!(
        served * 4 > responses.len(),
        "seed {seed}: too few were served"
    );
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("PROCESS_SOAK_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(1..3)
}

#[test]
fn no_short_response_looks_whole_while_servers_and_routers_are_killed_and_paths_closed() {
    for seed in seeds() {
        run_within(LIMIT, soak(seed));
    }
}

#[test]
#[ignore = "backend server process of the other test"]
fn serves_as_a_process() {
    run_within(
        Duration::from_secs(600),
        server_process::serve_as_a_process(),
    );
}
