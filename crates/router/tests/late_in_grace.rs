//! A router process that stops as planned while callers send requests on kept and new connections
//! until it is gone.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "processes/router_process.rs"]
mod router_process;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::caller::Caller;
use common::configuration;
use common::fake_store::FakeStore;
use common::run;
use common::start_servers;
use common::wire;
use router_process::RouterProcess;
use rustix::process::Signal;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time that a stop may take, in seconds.
const STOP_S: u64 = 8;

/// Time after the signal from which no request may be passed on to a server.
const LATEST_SENT: Duration = Duration::from_secs(3);

/// Time limit that requests name, in milliseconds.
const DEADLINE_MS: u64 = 6_000;

/// Callers that keep their connections, and as many that open one for each request.
const CALLERS: usize = 12;

/// Time that a server takes for a request, in milliseconds.
const RUN_MS: [u64; 2] = [20, 1_500];

/// A request and the status of its response; 0 if there was none.
struct Outcome {
    id: String,
    status: u16,
}

fn request(path: &str, id: &str) -> String {
    let head = wire::request_head(path, id, DEADLINE_MS);
    format!("{head}Content-Length: 5\r\n\r\nhello")
}

/// Sends a request and returns the status of the response, and whether it says that the connection
/// is closed.
async fn exchange(stream: &mut TcpStream, path: &str, id: &str) -> Option<(u16, bool)> {
    stream.write_all(request(path, id).as_bytes()).await.ok()?;
    let mut buf = vec![0; 4_096];
    let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
    let text = String::from_utf8_lossy(&buf[..len]).to_ascii_lowercase();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.contains("connection: close")))
}

/// Sends requests until no connection is accepted any more.
async fn send_requests(
    address: SocketAddr,
    name: String,
    keeps: bool,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
) {
    let mut kept = None;
    for n in 0.. {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => stream,
                Err(_) => return,
            },
        };
        let path = ["/once/p", "/plain/p"][n % 2];
        let id = format!("{name}-{n}");
        let response = exchange(&mut stream, path, &id).await;
        let (status, closes) = response.unwrap_or((0, true));
        outcomes.borrow_mut().push(Outcome { id, status });
        if keeps && !closes {
            kept = Some(stream);
        }
        sleep(Duration::from_millis(15)).await;
    }
}

async fn check(run_ms: u64) {
    let store = FakeStore::start().await;
    store.put("op/config", &configuration(1));
    let servers = start_servers(&store, 3).await;
    let dir = TempDir::new().unwrap();
    let router = RouterProcess::start_with(&dir, "router", store.address, STOP_S);
    while Caller::new(router.address).get("/plain/ready").await.status != 200 {
        sleep(Duration::from_millis(50)).await;
    }
    servers
        .iter()
        .for_each(|server| server.delay_ms.set(run_ms));
    let outcomes = Rc::default();
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|i| {
            let sent = send_requests(
                router.address,
                format!("c{i}"),
                i % 2 == 0,
                Rc::clone(&outcomes),
            );
            spawn_local(sent)
        })
        .collect();
    sleep(Duration::from_millis(500)).await;

    let signalled_at = Instant::now();
    router.signal(Signal::TERM);
    while router.runs() {
        sleep(Duration::from_millis(20)).await;
    }
    let took = signalled_at.elapsed();
    for caller in callers {
        caller.await.unwrap();
    }

    assert!(took < Duration::from_secs(STOP_S), "{took:?}");
    let received: Vec<_> = servers
        .iter()
        .map(|server| server.received.borrow())
        .collect();
    let late = received.iter().flat_map(|received| received.iter());
    let late = late.filter(|req| req.at > signalled_at + LATEST_SENT);
    assert_eq!(late.count(), 0, "passed on late in the grace");
    let outcomes = outcomes.borrow();
    let executions = |id: &str| {
        servers
            .iter()
            .map(|server| server.executions(id))
            .sum::<usize>()
    };
    for Outcome { id, status } in outcomes.iter() {
        let runs = executions(id);
        assert!(
            *status != 0 || runs == 0,
            "{id}: ran {runs} times, unanswered"
        );
        assert!(
            *status != 503 || runs == 0,
            "{id}: refused as not run, but ran"
        );
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == 200);
    assert!(served.count() > CALLERS);
}

// Guards against LOST: requests that come late in the grace are passed on, and cut at its end.
#[test]
fn requests_late_in_the_grace_of_a_stop_are_refused_or_answered() {
    for run_ms in RUN_MS {
        run(check(run_ms));
    }
}
