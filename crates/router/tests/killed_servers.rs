//! Backend servers as real processes that are killed within their responses, and proxies that close
//! connections regularly. The kernel ends the connections of a killed process without a reset, so
//! that a response without a length seems to end where it breaks off.

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
use server_process::FRAMINGS;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of backend servers; half of them fail.
const SERVERS: usize = 4;

/// Requests of each test that are in flight as the servers fail, and the time between two.
const REQUESTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(3);

/// Time from the last request to the failure, in which all responses have begun.
const BEGUN: Duration = Duration::from_millis(60);

/// Time in which a router reads the registrations.
const SETTLED: Duration = Duration::from_millis(1_500);

/// What fails while responses are on their way: half of the servers, or the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Their processes are killed.
    Killed,
    /// Their processes are killed and start again at once under their ids.
    Restarted,
    /// The proxies before them close all connections regularly.
    PathClosed,
    /// The router's process is killed and starts again at once.
    RouterKilled,
}

/// A router before backend servers, each behind a proxy; all but those of the test are processes.
struct System {
    router: RouterProcess,
    servers: Vec<ServerProcess>,
    paths: Vec<Proxy>,
    _store: FakeStore,
    _dir: TempDir,
}

impl System {
    async fn start(framing: Framing, failure: Failure) -> System {
        let store = FakeStore::start().await;
        store.put("op/config", &configuration(1));
        let dir = TempDir::new().unwrap();
        let (mut servers, mut paths) = (Vec::new(), Vec::new());
        for i in 0..SERVERS {
            let server = ServerProcess::start(&dir, &format!("i-{i}"), framing).await;
            let path = Proxy::start(server.address).await;
            let address = match failure {
                Failure::PathClosed => path.address,
                _ => server.address,
            };
            let registration = server.registration_at(address);
            store.put(&format!("servers/{}", server.id), &registration);
            servers.push(server);
            paths.push(path);
        }
        let router = RouterProcess::start(&dir, "router", store.address);
        let system = System {
            router,
            servers,
            paths,
            _store: store,
            _dir: dir,
        };
        system.wait_until_ready().await;
        sleep(SETTLED).await;
        system
    }

    async fn wait_until_ready(&self) {
        while Caller::new(self.router.address)
            .get("/plain/ready")
            .await
            .status
            != 200
        {
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn fail(&self, failure: Failure) {
        if failure == Failure::RouterKilled {
            let id = self.router.signal(Signal::KILL);
            return self.router.restart(id).await;
        }
        for (server, path) in self.servers.iter().zip(&self.paths).take(SERVERS / 2) {
            match failure {
                Failure::Killed => {
                    server.kill();
                }
                Failure::Restarted => {
                    server.kill();
                    server.restart().await;
                }
                Failure::PathClosed => path.set(Link::Closing),
                Failure::RouterKilled => {}
            }
        }
    }

    /// Sends requests of a path, lets half of the servers fail, and returns the responses.
    async fn responses(&self, path: &'static str, failure: Failure) -> Vec<Response> {
        let mut requests = Vec::new();
        for i in 0..REQUESTS {
            let caller = Caller::new(self.router.address);
            requests.push(spawn_local(async move {
                caller.post(path, &format!("id-{i}")).await
            }));
            sleep(REQUEST_INTERVAL).await;
        }
        sleep(BEGUN).await;
        self.fail(failure).await;
        let mut responses = Vec::new();
        for request in requests {
            responses.push(request.await.unwrap());
        }
        responses
    }

    fn executions(&self, id: &str) -> usize {
        let executions = self.servers.iter().map(|server| server.executions(id));
        executions.sum()
    }
}

/// Checks that no response that looks whole is short, and that the other servers' ones are whole.
async fn check(path: &'static str, framing: Framing, failure: Failure) {
    let system = System::start(framing, failure).await;
    let responses = system.responses(path, failure).await;
    let at = format!("{path} {framing:?} {failure:?}");
    let whole = whole_body(path);
    let mut complete = 0;
    let mut short = 0;
    for (i, response) in responses.iter().enumerate() {
        if response.status == 200 && response.complete {
            complete += 1;
            short += usize::from(response.text() != whole);
        }
        let executions = system.executions(&format!("id-{i}"));
        let may_repeat = path.starts_with("/plain/") || path.starts_with("/stream/");
        assert!(
            may_repeat || executions <= 1,
            "{at}: ran {executions} times"
        );
        let says_not_run = matches!(response.status, 408 | 421 | 429 | 503);
        assert!(
            !says_not_run || executions == 0,
            "{at}: ran, but refused as not run"
        );
    }
    let expected = match failure {
        Failure::RouterKilled => 0,
        _ => REQUESTS / 3,
    };
    println!("{at}: {complete} of {REQUESTS} complete, {short} of them short");
    assert_eq!(
        short, 0,
        "{at}: {short} of {complete} complete ones are short"
    );
    assert!(complete >= expected, "{at}: only {complete} are complete");
}

// Guards against ORDER: a stream ends as complete where its server was killed.
#[test]
fn a_stream_of_a_killed_server_goes_on_or_is_not_complete() {
    for framing in FRAMINGS {
        run(check("/stream/a", framing, Failure::Killed));
        run(check("/fixed/a", framing, Failure::Killed));
    }
}

// Guards against MIXED: half a body of a killed server looks whole.
#[test]
fn a_body_of_a_killed_server_is_not_complete() {
    for framing in FRAMINGS {
        run(check("/plain/a", framing, Failure::Killed));
        run(check("/once/a", framing, Failure::Killed));
    }
}

// Guards against MIXED and ORDER: the next incarnation's sign of life counts as the killed one's.
#[test]
fn a_response_of_a_server_that_has_started_again_is_not_complete() {
    for path in ["/stream/a", "/fixed/a", "/plain/a", "/once/a"] {
        run(check(path, Framing::Connection, Failure::Restarted));
    }
}

// Guards against MIXED and ORDER: a network that closes cut connections regularly shortens responses.
#[test]
fn a_response_whose_path_is_closed_regularly_is_not_complete() {
    for path in ["/stream/a", "/fixed/a", "/plain/a", "/once/a"] {
        run(check(path, Framing::Connection, Failure::PathClosed));
    }
}

// Guards against MIXED and ORDER: a killed router's callers take what they have for all of it.
#[test]
fn a_response_of_a_killed_router_is_not_complete() {
    for path in ["/stream/a", "/fixed/a", "/plain/a", "/once/a"] {
        run(check(path, Framing::Connection, Failure::RouterKilled));
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
