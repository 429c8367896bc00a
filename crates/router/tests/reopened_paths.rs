//! Paths to backend servers that are cut within a response without a length, and open again by the time at
//! which the router checks whether the server still runs.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "processes/router_process.rs"]
mod router_process;
#[path = "processes/server_process.rs"]
mod server_process;

use std::time::Duration;

use common::caller::Caller;
use common::caller::Response;
use common::configuration;
use common::fake_store::FakeStore;
use common::proxy::Link;
use common::proxy::Proxy;
use common::run;
use router_process::RouterProcess;
use rustix::process::Signal;
use server_process::whole_body;
use server_process::Framing;
use server_process::ServerProcess;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Requests in flight as the path is cut.
const REQUESTS: usize = 10;

/// Time in which a router reads the registrations.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Time in which all responses have begun, and before which none has ended.
const BEGUN: Duration = Duration::from_millis(150);

/// Time after which the router is paused: within its check, and before the check has ended.
const CHECKING: Duration = Duration::from_millis(20);

/// Times for which the router is paused: one that it notices, and one that it doesn't.
const LONG_PAUSE: Duration = Duration::from_millis(900);
const SHORT_PAUSE: Duration = Duration::from_millis(220);

/// A router process before one backend server process whose responses end with their connections.
struct System {
    router: RouterProcess,
    path: Proxy,
    _server: ServerProcess,
    _store: FakeStore,
    _dir: TempDir,
}

impl System {
    async fn start() -> System {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        let dir = TempDir::new().unwrap();
        let server = ServerProcess::start(&dir, "i-0", Framing::Connection).await;
        let path = Proxy::start(server.address).await;
        store.put("servers/i-0", &server.registration_at(path.address));
        let router = RouterProcess::start(&dir, "router", store.address);
        let caller = Caller::new(router.address);
        while caller.get("/plain/ready").await.status != 200 {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(SETTLED).await;
        System {
            router,
            path,
            _server: server,
            _store: store,
            _dir: dir,
        }
    }

    /// Cuts the path regularly, resets new connections over it, and opens it again while the router is
    /// paused.
    async fn cut_and_reopen(&self, pause: Duration) {
        self.path.set(Link::Closing);
        sleep(Duration::from_millis(1)).await;
        self.path.set(Link::Resetting);
        sleep(CHECKING).await;
        self.router.signal(Signal::STOP);
        sleep(pause).await;
        self.path.set(Link::Open);
        self.router.signal(Signal::CONT);
    }

    /// Sends requests of a path, cuts the path to the server within the responses, and returns them.
    async fn responses(&self, path: &'static str, pause: Duration) -> Vec<Response> {
        let requests = (0..REQUESTS).map(|i| {
            let caller = Caller::new(self.router.address);
            spawn_local(async move { caller.post(path, &format!("id-{i}")).await })
        });
        let requests: Vec<_> = requests.collect();
        sleep(BEGUN).await;
        self.cut_and_reopen(pause).await;
        let mut responses = Vec::new();
        for request in requests {
            responses.push(request.await.unwrap());
        }
        responses
    }
}

async fn check(path: &'static str, pause: Duration) {
    let system = System::start().await;
    let responses = system.responses(path, pause).await;
    let complete = responses
        .iter()
        .filter(|response| response.status == 200 && response.complete);
    let short = complete
        .filter(|response| response.text() != whole_body(path))
        .count();
    assert_eq!(short, 0, "{path}: {short} of {REQUESTS} are short");
}

// Guards against MIXED and ORDER: a check that goes on after a pause finds the path open again, and half
// a response looks whole.
#[test]
fn a_response_whose_path_reopens_while_the_router_is_paused_in_its_check_is_not_complete() {
    for path in ["/stream/a", "/fixed/a", "/plain/a", "/once/a"] {
        run(check(path, LONG_PAUSE));
    }
}

// Guards against the same with a pause that the router doesn't notice.
#[test]
fn a_response_whose_path_reopens_before_the_check_is_repeated_is_not_complete() {
    for path in ["/stream/a", "/fixed/a", "/plain/a", "/once/a"] {
        run(check(path, SHORT_PAUSE));
    }
}

#[test]
#[ignore = "backend server process of the other tests"]
fn serves_as_a_process() {
    common::run_within(
        Duration::from_secs(600),
        server_process::serve_as_a_process(),
    );
}
