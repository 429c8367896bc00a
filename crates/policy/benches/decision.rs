//! Time and memory per event, for fleets of several sizes.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use config::BackendServer;
use config::Config;
use config::Model;
use config::Workspace;
use divan::AllocProfiler;
use divan::Bencher;
use policy::Action;
use policy::BlockKey;
use policy::CacheChange;
use policy::CacheReport;
use policy::CallId;
use policy::CallRequest;
use policy::CellLoad;
use policy::Event;
use policy::Generate;
use policy::Identity;
use policy::Incarnation;
use policy::LoadReport;
use policy::Member;
use policy::MemberRole;
use policy::Node;
use policy::PeerMessage;
use policy::PlacementQuery;
use policy::PrefixHash;
use policy::ServerKey;
use policy::Time;
use policy::Work;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

const START: Time = Time::from_millis(1_800_000_000_000);
const REGIONS: usize = 4;
const MODELS: usize = 39;
const BLOCKS_PER_PROMPT: u64 = 8;

/// Number of blocks that an engine caches.
const BLOCKS_PER_ENGINE: u64 = 75_000;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
struct Size {
    engines: usize,
    routers: usize,
    workspaces: usize,
    models: usize,
}

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Size {
            engines,
            routers,
            workspaces,
            models,
        } = self;
        write!(f, "{engines}r {routers}n {workspaces}w {models}m")
    }
}

const fn size(engines: usize, routers: usize, workspaces: usize, models: usize) -> Size {
    Size {
        engines,
        routers,
        workspaces,
        models,
    }
}

const SIZES: [Size; 5] = [
    size(20, 9, 8, 1),
    size(200, 20, 60, 4),
    size(1_000, 66, 300, 10),
    size(5_300, 330, 1_500, MODELS),
    size(5_300, 330, 1_500, 1),
];

fn main() {
    divan::main();
}

fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).expect("the index fits in 32 bits");
    (Ipv4Addr::from(0x0a00_0000 + index), 8_000).into()
}

fn region(index: usize) -> String {
    format!("region{}", index % REGIONS)
}

fn failure_domain(index: usize) -> String {
    format!("{}-{}", region(index), index / REGIONS % 4)
}

/// Returns the name of an engine. Hashes of the names group engines into cells, so other
/// names would make results incomparable with earlier ones.
fn engine_name(index: usize) -> String {
    format!("runner{index:05}")
}

fn config(size: Size) -> Arc<Config> {
    let workspaces = (0..size.workspaces).map(|i| {
        let workspace = Workspace {
            token_sha256: format!("{i:064x}"),
            share: 1,
            quota: Default::default(),
            weights: Default::default(),
        };
        (format!("workspace{i}"), workspace)
    });
    let models = (0..size.models).map(|i| {
        let model = Model {
            weights_version: 1,
            prefill_ms_per_1000_tokens: 40.0,
            kv_bytes_per_token: 16_000,
        };
        (format!("model{i}"), model)
    });
    let servers = (0..size.engines).map(|i| {
        let server = BackendServer {
            address: address(i),
            region: region(i),
            failure_domain: failure_domain(i),
            models: vec![format!("model{}", i / REGIONS % size.models)],
            workspaces: Vec::new(),
            checks_fencing: true,
        };
        (engine_name(i), server)
    });
    Arc::new(Config {
        workspaces: workspaces.collect(),
        models: models.collect(),
        backend_servers: servers.collect(),
        services: BTreeMap::new(),
        ..Config::default()
    })
}

fn member(role: MemberRole, name: String, index: usize) -> Member {
    Member {
        name,
        role,
        address: address(index),
        region: region(index),
        failure_domain: failure_domain(index),
        incarnation: Incarnation(1),
        leaving: false,
    }
}

fn members(size: Size) -> Vec<Member> {
    let routers = (0..size.routers).map(|i| member(MemberRole::Router, format!("router{i:03}"), i));
    let engines = (0..size.engines).map(|i| member(MemberRole::BackendServer, engine_name(i), i));
    routers.chain(engines).collect()
}

/// A node with a configuration and a membership list.
struct Fixture {
    node: Node,
    /// Engines that the node watches.
    watched: Vec<ServerKey>,
    /// Buffer for actions, empty between events.
    out: Vec<Action>,
}

impl Fixture {
    fn new(cfg: &Arc<Config>, members: &[Member], router: usize) -> Fixture {
        let identity = Identity {
            vm: format!("router{router:03}"),
            region: region(router),
            failure_domain: failure_domain(router),
            incarnation: 1,
        };
        let mut fixture = Fixture {
            node: Node::new(identity, 1),
            watched: Vec::new(),
            out: Vec::new(),
        };
        fixture.handle(Event::Members(members.to_vec()));
        let config = cfg.clone();
        fixture.handle(Event::Config { version: 1, config });
        fixture
    }

    /// Returns the first router of the fleet that owns a cell.
    fn of_size(size: Size) -> Fixture {
        let (cfg, members) = (config(size), members(size));
        (0..size.routers)
            .map(|router| Fixture::new(&cfg, &members, router))
            .find(|fixture| !fixture.watched.is_empty())
            .expect("each cell has an owner")
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(START, event, &mut self.out);
        for action in self.out.drain(..) {
            if let Action::Watch(watched) = action {
                self.watched = watched;
            }
        }
    }

    /// Returns the model that the first watched engine serves.
    fn model_of_watched(&self, size: Size) -> String {
        let name = self.name(self.watched[0]);
        let index: usize = name[6..].parse().expect("engine names end in a number");
        format!("model{}", index / REGIONS % size.models)
    }

    fn other_router(&self, size: Size) -> String {
        let own = &self.node.identity().vm;
        let names = (0..size.routers).map(|i| format!("router{i:03}"));
        names
            .into_iter()
            .find(|name| name != own)
            .expect("the fleet has several routers")
    }

    fn name(&self, server: ServerKey) -> String {
        self.node.server_address(server).0.to_owned()
    }

    /// Reports a full cache for each watched engine.
    fn fill(&mut self) {
        for (i, server) in self.watched.clone().into_iter().enumerate() {
            let first = i as u64 * BLOCKS_PER_ENGINE;
            let changes = (0..BLOCKS_PER_ENGINE)
                .map(|n| CacheChange::Stored(block_key(first + n)))
                .collect();
            let report = CacheReport {
                server: self.name(server),
                incarnation: Incarnation(1),
                first_sequence: 1,
                changes,
            };
            self.handle(Event::Cache(report));
        }
    }
}

/// Returns the key of block `n`, spread over the key space.
fn block_key(n: u64) -> BlockKey {
    BlockKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn call(id: u64, size: Size) -> Event {
    let workspace = id as usize % size.workspaces;
    Event::Call(Box::new(CallRequest {
        call: CallId(id),
        token_sha256: format!("{workspace:064x}"),
        priority: None,
        deadline: None,
        fingerprint: id,
        work: Work::Generate(Generate {
            model: format!("model{}", id as usize % size.models),
            blocks: (0..BLOCKS_PER_PROMPT)
                .map(|n| PrefixHash(id * 100 + n))
                .collect(),
            prompt_tokens: 17_000,
            max_tokens: 100,
        }),
    }))
}

/// A call on the router that accepts it: the choice of a cell, and of an engine or a query to the
/// owner of the cell.
#[divan::bench(args = SIZES)]
fn decision_at_entry(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    let mut id = 0;
    bencher.bench_local(|| {
        id += 1;
        fixture.handle(call(id, size));
        fixture.handle(Event::CallerGone(CallId(id)));
    });
}

/// A placement query of another router to the owner of a cell of 16 engines with full caches.
#[divan::bench(args = SIZES)]
fn decision_at_owner(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    fixture.fill();
    let model = fixture.model_of_watched(size);
    let sender = fixture.other_router(size);
    let mut cells = own_cells(&mut fixture);
    cells.retain(|cell| {
        let message = placement_query(0, *cell, &model);
        let event = Event::Peer {
            from: sender.clone(),
            message,
        };
        fixture.node.handle(START, event, &mut fixture.out);
        let placed = fixture.out.drain(..).any(|action| match action {
            Action::SendPeer {
                message: PeerMessage::Placed(placed),
                ..
            } => placed.server.is_some(),
            _ => false,
        });
        placed
    });
    let mut ticket = 0;
    bencher.bench_local(|| {
        ticket += 1;
        let cell = cells[ticket as usize % cells.len()];
        let message = placement_query(ticket, cell, &model);
        let from = sender.clone();
        fixture.handle(Event::Peer { from, message });
    });
}

fn placement_query(ticket: u64, cell: u64, model: &str) -> PeerMessage {
    PeerMessage::Place(PlacementQuery {
        ticket,
        cell,
        pieces: (0..BLOCKS_PER_PROMPT)
            .map(|n| block_key(ticket * 100 + n))
            .collect(),
        prompt_tokens: 17_000,
        rank: 0,
        fingerprint: ticket,
        workspace: "workspace1".to_owned(),
        model: model.to_owned(),
        avoid: Vec::new(),
    })
}

/// Returns the ids of the cells that the node owns, from the loads that it announces.
fn own_cells(fixture: &mut Fixture) -> Vec<u64> {
    let mut out = Vec::new();
    fixture
        .node
        .handle(START.plus_millis(60_000), Event::Tick, &mut out);
    let loads = out.into_iter().find_map(|action| match action {
        Action::SendPeer {
            message: PeerMessage::CellLoad(loads),
            ..
        } => Some(loads),
        _ => None,
    });
    let cells: Vec<u64> = loads.into_iter().flatten().map(|load| load.cell).collect();
    assert!(!cells.is_empty(), "it owns a cell");
    cells
}

/// A cache report of a watched engine with 100 changes.
#[divan::bench(args = SIZES)]
fn cache_events_100(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    fixture.fill();
    let server = fixture.name(fixture.watched[0]);
    let mut next = 0;
    bencher.bench_local(|| {
        next += 50;
        let stored = (0..50).map(|n| CacheChange::Stored(block_key(10_000_000 + next + n)));
        let evicted = (0..50).map(|n| CacheChange::Evicted(block_key(next + n)));
        let report = CacheReport {
            server: server.clone(),
            incarnation: Incarnation(1),
            first_sequence: 1,
            changes: stored.chain(evicted).collect(),
        };
        fixture.handle(Event::Cache(report));
    });
}

/// A load report of a watched engine.
#[divan::bench(args = SIZES)]
fn load_report(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    let server = fixture.name(fixture.watched[0]);
    let mut at = START;
    bencher.bench_local(|| {
        at = at.plus_millis(1);
        let report = LoadReport {
            server: server.clone(),
            incarnation: Incarnation(1),
            at,
            queued_tokens: 5_000,
            running: 10,
            leaving: false,
            weights: None,
        };
        fixture.handle(Event::Load(report));
    });
}

/// The loads of 8 cells, received from another router.
#[divan::bench(args = SIZES)]
fn peer_summary(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    let cells = own_cells(&mut fixture);
    bencher.bench_local(|| {
        let loads = (0..8)
            .map(|n| CellLoad {
                cell: cells[n % cells.len()],
                queued_tokens: 5_000,
                least_queued_tokens: 1_000,
            })
            .collect();
        let from = "router001".to_owned();
        let message = PeerMessage::CellLoad(loads);
        fixture.handle(Event::Peer { from, message });
    });
}

/// A change of the configuration.
#[divan::bench(args = SIZES, sample_count = 20)]
fn configuration_change(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    let cfg = config(size);
    let mut version = 1;
    bencher.bench_local(|| {
        version += 1;
        let config = cfg.clone();
        fixture.handle(Event::Config { version, config });
    });
}

/// A change of the membership list.
#[divan::bench(args = SIZES, sample_count = 20)]
fn membership_change(bencher: Bencher<'_, '_>, size: Size) {
    let mut fixture = Fixture::of_size(size);
    let members = members(size);
    bencher.bench_local(|| fixture.handle(Event::Members(members.clone())));
}

/// Creation of a node with a configuration and a membership list; `max alloc` shows its memory.
#[divan::bench(args = SIZES, sample_count = 3, sample_size = 1)]
fn state_of_fleet(bencher: Bencher<'_, '_>, size: Size) {
    let cfg = config(size);
    let members = members(size);
    bencher.bench_local(|| Fixture::new(&cfg, &members, 0));
}

/// Creation of the residency of 16 engines with full caches; `max alloc` shows its memory.
#[divan::bench(sample_count = 3, sample_size = 1)]
fn state_of_cell(bencher: Bencher<'_, '_>) {
    let cfg = config(size(16 * REGIONS, 1, 8, 1));
    let members = members(size(0, REGIONS, 8, 1));
    bencher.bench_local(|| {
        let mut fixture = Fixture::new(&cfg, &members, 0);
        fixture.fill();
        println!(
            "{} watched engines, {} bytes by the estimate of the node",
            fixture.watched.len(),
            fixture.node.view_memory_bytes()
        );
        fixture
    });
}

/// Creation of the configuration alone; `max alloc` shows its memory.
#[divan::bench(args = SIZES, sample_count = 3, sample_size = 1)]
fn state_of_configuration(bencher: Bencher<'_, '_>, size: Size) {
    let json = serde_json::to_vec(&*config(size)).expect("it is plain JSON");
    println!("{size}: {} bytes of JSON", json.len());
    bencher.bench_local(|| config(size));
}
