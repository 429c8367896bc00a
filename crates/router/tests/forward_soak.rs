//! Randomized soak test of `turmerichollow forward` as real processes, with injected faults.
//!
//! Routers are killed, terminated, paused and restarted, the store refuses calls, backend servers
//! misbehave, a request crashes each server that runs it, the store comes back from an older copy,
//! and the network links to both are delayed, reset, blocked in one direction or in both, one after
//! the other and overlapping. Backend servers have two software versions, and one limits its
//! requests; callers take streams up that broke off. The responses that callers received are then
//! checked against the executions that backend servers counted. `SOAK_SEEDS=a..b` runs other seeds,
//! `SOAK_LOGS=dir` keeps the routers' logs.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/recorded_response.rs"]
mod recorded_response;
#[path = "processes/router_process.rs"]
mod router_process;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::task::LocalSet;
use tokio::time::sleep;

use common::caller::Caller;
use common::caller::Response;
use common::configuration;
use common::fake_server::Behavior;
use common::fake_server::FakeServer;
use common::fake_store::FakeStore;
use common::proxy::Link;
use common::proxy::Proxy;
use recorded_response::RecordedResponse;
use recorded_response::VERSIONS;
use router_process::RouterProcess;

/// Number of routers.
const ROUTERS: usize = 3;

/// Number of backend servers.
const SERVERS: usize = 4;

/// Number of concurrent callers; each sends one request at a time.
const CALLERS: usize = 6;

/// Period during which faults are injected, in milliseconds.
const FAULTS_MS: u64 = 6_000;

/// Time after the last fault within which every router must serve again, in milliseconds.
const RECOVERY_MS: u64 = 6_000;

/// Distinguishes the random numbers of the store's eras from those of the other faults.
const ERA_SEED: u64 = 0x4552_4100_0000;

/// Ways in which backend servers misbehave.
const BEHAVIORS: [Behavior; 7] = [
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

/// Path of the request that crashes servers.
const CRASHING_PATH: &str = "/plain/crash";

/// Time after a crash at which a server starts again, and between two requests that crash servers.
const RESTART: Duration = Duration::from_millis(700);
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the last fault from which routers count as in touch.
const STABLE: Duration = Duration::from_millis(3_000);

/// How often a request that has crashed three servers may reach servers from routers in touch.
const MAX_CRASHING_ARRIVALS: usize = 3;

/// The backend server that limits its requests from the start on; the others do once the faults are
/// over. Limit of each in requests a second.
const LIMITED: usize = 3;
const LIMIT: usize = 5;

/// How often a caller takes a stream up that broke off.
const TAKE_UPS: usize = 2;

/// Kinds of requests, by their routes.
const PATHS: [&str; 4] = ["/once/a", "/plain/a", "/stream/a", "/fixed/a"];

struct World {
    seed: u64,
    store: FakeStore,
    servers: Vec<FakeServer>,
    /// Network links: first one to each backend server, then one from each router to the store.
    links: Vec<Proxy>,
    routers: Vec<RouterProcess>,
    responses: RefCell<Vec<RecordedResponse>>,
    stopping: Cell<bool>,
    _dir: TempDir,
}

impl World {
    async fn start(seed: u64) -> Rc<World> {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for i in 0..SERVERS {
            let server = FakeServer::start(&format!("i-{i}")).await;
            server.crashes_on.replace(CRASHING_PATH.to_owned());
            let version = VERSIONS[i % VERSIONS.len()];
            server.version.replace(version.to_owned());
            server.event_suffix.replace(format!(" {version}"));
            if i == LIMITED {
                name_limit(&server);
            }
            let link = Proxy::start(server.address).await;
            let registration = server.registration_at(link.address, "ready");
            store.put(&format!("servers/i-{i}"), &registration);
            servers.push(server);
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
            servers,
            responses: RefCell::default(),
            stopping: Cell::new(false),
            _dir: dir,
        })
    }

    fn executions(&self, id: &str) -> usize {
        self.servers
            .iter()
            .map(|server| server.executions(id))
            .sum()
    }

    /// Returns how many requests have reached each server.
    fn arrivals(&self) -> Vec<usize> {
        let servers = self.servers.iter();
        servers
            .map(|server| server.received.borrow().len())
            .collect()
    }

    /// Returns how often the request that crashes servers has reached one.
    fn crashing_arrivals(&self) -> usize {
        let servers = self.servers.iter();
        servers.map(|server| server.arrivals(CRASHING_PATH)).sum()
    }
}

fn name_limit(server: &FakeServer) {
    let header = format!("Server-Limit: {LIMIT}\r\n");
    server.extra_headers.replace(header);
}

async fn run_caller(world: Rc<World>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed * 1_000 + caller as u64);
    for n in 0.. {
        if world.stopping.get() {
            return;
        }
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("s{}-{caller}-{n}", world.seed);
        let mut record = RecordedResponse {
            response: send(&world, rng.random_range(0..ROUTERS), path, &id, "").await,
            id: id.clone(),
            path,
            earlier_events: String::new(),
        };
        for attempt in 0..TAKE_UPS {
            let Some(events) = record.resumable_events() else {
                break;
            };
            let headers = format!("Last-Event-Id: {events}\r\nResumes: {id}\r\n");
            let next_id = format!("{id}-{attempt}");
            let router = rng.random_range(0..ROUTERS);
            let next = RecordedResponse {
                response: send(&world, router, path, &next_id, &headers).await,
                id: next_id,
                path,
                earlier_events: record.whole_events(),
            };
            let earlier = std::mem::replace(&mut record, next);
            world.responses.borrow_mut().push(earlier);
        }
        world.responses.borrow_mut().push(record);
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

async fn send(
    world: &World,
    router: usize,
    path: &'static str,
    id: &str,
    headers: &str,
) -> Response {
    let method = if path == "/plain/a" { "GET" } else { "POST" };
    let body = if method == "GET" { "" } else { id };
    let caller = Caller::new(world.routers[router].address);
    caller.send(method, path, id, headers, body).await
}

/// Sends the request that crashes servers to all routers in turn.
async fn send_crashing_requests(world: Rc<World>) {
    while !world.stopping.get() {
        for router in &world.routers {
            Caller::new(router.address).get(CRASHING_PATH).await;
            sleep(CRASHING_INTERVAL).await;
        }
    }
}

/// Starts servers again that have crashed, as new incarnations.
async fn restart_crashed_servers(world: Rc<World>) {
    while !world.stopping.get() {
        sleep(RESTART).await;
        for (server, link) in world.servers.iter().zip(&world.links) {
            if server.is_down.get() {
                server.restart().await;
                let registration = server.registration_at(link.address, "ready");
                let key = format!("servers/{}", server.id);
                world.store.put(&key, &registration);
            }
        }
    }
}

/// Checks once routers are in touch that the request that crashes servers hardly reaches any, and
/// that servers that limit their requests get what they take, and no more, from all routers
/// together.
async fn check_stable_routers(world: &World) {
    world.servers.iter().for_each(name_limit);
    sleep(STABLE).await;
    let before = world.crashing_arrivals();
    let arrivals_before = world.arrivals();
    sleep(STABLE).await;
    let arrivals = world.arrivals();
    let seconds = STABLE.as_secs() as usize;
    let mut used = 0;
    for (after, before) in arrivals.iter().zip(arrivals_before) {
        let got = after - before;
        let allowed = LIMIT * seconds * 3 / 2 + 5;
        assert!(got <= allowed, "seed {}: {got} of {allowed}", world.seed);
        used += got;
    }
    let limit = LIMIT * seconds * SERVERS;
    assert!(used * 2 >= limit, "seed {}: {used} of {limit}", world.seed);
    let later = world.crashing_arrivals() - before;
    assert!(before >= 3, "seed {}: only {before} crashes", world.seed);
    assert!(
        later <= MAX_CRASHING_ARRIVALS,
        "seed {}: {later} arrivals after {before}",
        world.seed
    );
}

/// Injects one fault for `duration_ms` milliseconds and then removes it.
async fn inject_fault(world: Rc<World>, fault_kind: u32, target: usize, duration_ms: u64) {
    let router = &world.routers[target % ROUTERS];
    let server = &world.servers[target % SERVERS];
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
        3 => {
            world.store.down.set(true);
            sleep(pause).await;
            world.store.down.set(false);
        }
        4 => {
            router.signal(Signal::HUP);
        }
        5 => {
            let version = 2 + duration_ms;
            world.store.put("op/config", &configuration(version));
        }
        6..=8 => {
            let link = &world.links[target % world.links.len()];
            link.set(LINKS[target % LINKS.len()]);
            sleep(pause).await;
            link.set(Link::Open);
        }
        _ => {
            server.behavior.set(BEHAVIORS[target % BEHAVIORS.len()]);
            sleep(pause).await;
            server.behavior.set(Behavior::Serves);
        }
    }
}

async fn inject_faults(world: Rc<World>) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed);
    let mut faults = Vec::new();
    let mut left_ms = FAULTS_MS;
    while left_ms > 0 {
        let gap_ms = rng.random_range(50..600).min(left_ms);
        left_ms -= gap_ms;
        sleep(Duration::from_millis(gap_ms)).await;
        let (fault_kind, target) = (rng.random_range(0..12), rng.random_range(0..1_000));
        let duration_ms = rng.random_range(100..1_500);
        faults.push(spawn_local(inject_fault(
            Rc::clone(&world),
            fault_kind,
            target,
            duration_ms,
        )));
    }
    for fault in faults {
        fault.await.unwrap();
    }
}

/// Lets the store come back from a copy that is some seconds old, in some seeds while all routers
/// are killed. What the operators wrote since is written again soon after.
async fn restore_older_copy(world: Rc<World>) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed ^ ERA_SEED);
    for _ in 0..rng.random_range(1..3) {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        world.store.take_copy();
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        let configuration = world.store.get("op/config").unwrap();
        world.store.down.set(true);
        if rng.random_range(0..3) == 0 {
            for router in &world.routers {
                let id = router.signal(Signal::KILL);
                router.restart(id).await;
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..1_000))).await;
        world.store.restore_copy();
        world.store.down.set(false);
        sleep(Duration::from_millis(rng.random_range(0..1_000))).await;
        world.store.put_bytes("op/config", &configuration);
    }
}

async fn wait_until_all_serve(world: &World) {
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
        wait_until_all_serve(&world).await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| spawn_local(run_caller(Rc::clone(&world), caller)))
            .collect();
        let crashes = spawn_local(send_crashing_requests(Rc::clone(&world)));
        let restarts = spawn_local(restart_crashed_servers(Rc::clone(&world)));
        let restores = spawn_local(restore_older_copy(Rc::clone(&world)));
        inject_faults(Rc::clone(&world)).await;
        restores.await.unwrap();
        wait_until_all_serve(&world).await;
        check_stable_routers(&world).await;
        world.stopping.set(true);
        for caller in callers.into_iter().chain([crashes, restarts]) {
            caller.await.unwrap();
        }
        let responses = world.responses.borrow();
        for record in responses.iter() {
            let at = format!("seed {seed}");
            record.check(&at, world.executions(&record.id));
        }
        let served = responses
            .iter()
            .filter(|record| record.response.status == 200);
        let served = served.count();
        println!("seed {seed}: {} requests, {served} served", responses.len());
        assert!(
            served * 4 > responses.len(),
            "seed {seed}: too few requests were served"
        );
    });
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(1..3)
}

#[test]
fn guarantees_hold_while_routers_store_and_backend_servers_fail() {
    for seed in seeds() {
        soak(seed);
    }
}
