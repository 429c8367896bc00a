//! Crowds of callers that don't behave, before one router as a process of its own.
//!
//! A crowd is small, as the settings of the router are: its memory, its descriptors. Checked is what
//! doesn't depend on the speed of the machine: the process lives, its memory and descriptors stay below
//! their bounds, an ordinary request is answered while the crowd is there, and the process ends when
//! told to. Each test holds [`ALONE`], so that one runs at a time.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "crowds/crowd_caller.rs"]
mod crowd_caller;
#[path = "crowds/crowd_server.rs"]
mod crowd_server;
#[path = "processes/process_usage.rs"]
mod process_usage;
#[path = "processes/router_process.rs"]
mod router_process;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use common::caller::Caller;
use common::configuration;
use common::fake_store::FakeStore;
use common::free_address;
use common::run_within;
use common::MODEL;
use crowd_caller::connect;
use crowd_caller::head;
use crowd_caller::hold;
use crowd_caller::request;
use crowd_caller::Reading;
use process_usage::ProcessUsage;
use router_process::settings;
use router_process::RouterProcess;

/// Memory of the router's VM, in mebibytes.
const MEMORY_MB: u64 = 64;

/// Descriptors that the router may have open, where a crowd takes connections.
const DESCRIPTORS: usize = 400;

/// Time for which a crowd is watched.
const WATCHED: Duration = Duration::from_secs(8);

/// Time in which an ordinary request has its answer; far longer than it takes.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Time that a stop may take, in seconds, and in which the process must have ended.
const STOP_S: u64 = 3;
const STOP_TIME: Duration = Duration::from_secs(20);

/// Limit on a test.
const LIMIT: Duration = Duration::from_secs(120);

/// Time limit of all routes, in milliseconds.
const ROUTE_MS: u64 = 14_000;

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::new(());

/// A router process before a server and a store, and the tasks of the callers of a crowd.
struct Trial {
    router: RouterProcess,
    listen: Value,
    callers: Vec<JoinHandle<()>>,
    _store: FakeStore,
    _dir: TempDir,
}

impl Trial {
    /// Starts a router with the bounds of these tests.
    async fn start() -> Trial {
        Trial::start_with(json!({ "memory_mb": MEMORY_MB })).await
    }

    /// Starts a router with the fields of `extra` in its settings.
    async fn start_with(extra: Value) -> Trial {
        let registration = crowd_server::start().await;
        Trial::start_before(registration, extra).await
    }

    /// Starts a router before a server with a registration.
    async fn start_before(registration: Value, extra: Value) -> Trial {
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
            _store: store,
            _dir: dir,
        }
    }

    /// Adds `count` callers, each of which does what `act` says to its number.
    fn add_callers<F, A>(&mut self, count: usize, act: F)
    where
        F: Fn(usize) -> A,
        A: Future<Output = ()> + 'static,
    {
        self.callers.extend((0..count).map(act).map(spawn_local));
    }

    /// Adds `count` callers that ask for `path` and read in a way.
    fn add_readers(&mut self, count: usize, path: &'static str, reading: Reading) {
        let address = self.router.address;
        self.add_callers(count, |i| async move {
            request(address, path, &format!("crowd-{i}"), reading).await;
            // A caller whose connection was closed doesn't come again.
        });
    }

    /// Returns an address at which the router listens.
    fn address(&self, field: &str) -> SocketAddr {
        let port = match &self.listen[field] {
            Value::String(address) => return address.parse().unwrap(),
            port => u16::try_from(port.as_u64().unwrap()).unwrap(),
        };
        SocketAddr::new(self.router.address.ip(), port)
    }

    /// Watches the router with the crowd, and checks memory, descriptors, one ordinary request and the end
    /// of the process.
    async fn check(self, descriptors: usize) {
        let peak = ProcessUsage::peak(self.router.id(), WATCHED).await;
        let status = ordinary_request(self.router.address).await;
        let after = ProcessUsage::of(self.router.id());
        let lives = self.router.runs();
        self.router.signal(Signal::TERM);
        let ended = timeout(STOP_TIME, async {
            while self.router.runs() {
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
}

/// Returns a configuration that lets callers take their time.
fn patient_configuration() -> Value {
    let mut cfg = configuration(1);
    for route in cfg["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(ROUTE_MS);
    }
    cfg["Services"][0]["MaxConnections"] = json!(4_000);
    cfg["Limits"]["MaxBodyBytes"] = json!(4_000_000);
    cfg
}

/// Returns the status of the answer to one ordinary request; 0 if there was none.
async fn ordinary_request(address: SocketAddr) -> u16 {
    let caller = Caller::new(address);
    let answer = timeout(ANSWER_TIME, caller.post("/plain/ordinary", "ordinary")).await;
    answer.map_or(0, |answer| answer.status)
}

/// Runs a test of a crowd while no other one runs.
fn alone<F>(test: F)
where
    F: Future<Output = ()>,
{
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run_within(LIMIT, test);
}

/// Checks a router before `count` callers that ask for `path` and read in a way.
fn check_readers(count: usize, path: &'static str, reading: Reading) {
    alone(async {
        let mut trial = Trial::start().await;
        trial.add_readers(count, path, reading);
        trial.check(usize::MAX).await;
    });
}

// Guards against bodies that no longer count as buffered once the http library has them.
#[test]
fn callers_who_read_nothing_of_large_bodies_leave_memory_to_others() {
    check_readers(120, "/plain/body-1048576", Reading::Nothing);
}

// Guards against the same with callers whose connections never stand still.
#[test]
fn callers_who_drip_read_large_bodies_leave_memory_to_others() {
    let reading = Reading::Paced {
        bytes: 64,
        interval_ms: 200,
    };
    check_readers(120, "/plain/body-1048576", reading);
}

// Guards against the same with callers that no timeout of the kernel ends.
#[test]
fn callers_who_read_large_bodies_at_a_slow_pace_leave_memory_to_others() {
    let reading = Reading::Paced {
        bytes: 64 << 10,
        interval_ms: 500,
    };
    check_readers(120, "/plain/body-1048576", reading);
}

#[test]
fn callers_who_read_four_kilobytes_a_second_leave_memory_to_others() {
    let reading = Reading::Paced {
        bytes: 4 << 10,
        interval_ms: 1_000,
    };
    check_readers(120, "/plain/body-1048576", reading);
}

#[test]
fn callers_who_read_nothing_of_the_largest_bodies_leave_memory_to_others() {
    check_readers(60, "/plain/body-4000000", Reading::Nothing);
}

#[test]
fn callers_who_read_nothing_of_many_middling_bodies_leave_memory_to_others() {
    check_readers(400, "/plain/body-120000", Reading::Nothing);
}

// Guards against events that no longer count as buffered once the http library has them.
#[test]
fn callers_who_read_nothing_of_large_events_leave_memory_to_others() {
    check_readers(40, "/fixed/events-4-900000", Reading::Nothing);
}

#[test]
fn callers_who_read_nothing_of_middling_events_leave_memory_to_others() {
    check_readers(150, "/fixed/events-8-200000", Reading::Nothing);
}

// Guards against what servers send and nobody reads, which the kernel holds for the process.
#[test]
fn callers_who_read_nothing_of_long_streams_leave_memory_to_others() {
    check_readers(240, "/fixed/events-40-60000", Reading::Nothing);
}

// Guards against heads that no limit counts before they are whole.
#[test]
fn callers_who_never_finish_their_heads_leave_memory_to_others() {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.router.address;
        trial.add_callers(2_500, |_| async move {
            let Ok(mut stream) = connect(address).await else {
                return;
            };
            let head = format!("POST /plain/x HTTP/1.1\r\nX-Filler: {}", "x".repeat(15_000));
            // Fails if the router has closed the connection.
            let _ = stream.write_all(head.as_bytes()).await;
            hold(stream).await
        });
        trial.check(usize::MAX).await;
    });
}

// Guards against bytes that a caller sends behind its request, and nobody reads.
#[test]
fn callers_who_send_on_behind_a_request_leave_memory_to_others() {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.router.address;
        trial.add_callers(700, |i| async move {
            let Ok(mut stream) = connect(address).await else {
                return;
            };
            let head = head("/fixed/events-40-60000", &format!("crowd-{i}"), 0);
            let bytes = format!("{head}{}", "x".repeat(400_000));
            let _ = stream.write_all(bytes.as_bytes()).await;
            hold(stream).await
        });
        trial.check(usize::MAX).await;
    });
}

// Guards against memory that counts as taken by bytes that were only named.
#[test]
fn callers_who_name_bodies_and_send_one_byte_dont_shut_others_out() {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.router.address;
        trial.add_callers(800, |i| async move {
            let Ok(mut stream) = connect(address).await else {
                return;
            };
            let bytes = format!("{}x", head("/plain/x", &format!("crowd-{i}"), 30_000));
            let _ = stream.write_all(bytes.as_bytes()).await;
            hold(stream).await
        });
        trial.check(usize::MAX).await;
    });
}

// Guards against request bodies that take all memory while their server takes its time.
#[test]
fn callers_who_send_the_largest_bodies_leave_memory_to_others() {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.router.address;
        trial.add_callers(60, |i| async move {
            let Ok(mut stream) = connect(address).await else {
                return;
            };
            let head = head("/plain/late", &format!("crowd-{i}"), 4_000_000);
            let bytes = format!("{head}{}", "x".repeat(4_000_000));
            let _ = stream.write_all(bytes.as_bytes()).await;
            hold(stream).await
        });
        trial.check(usize::MAX).await;
    });
}

/// Checks a router with few descriptors before callers that open connections to one of its ports, send
/// `bytes`, and come again when they are closed.
fn check_connections(port: &'static str, count: usize, bytes: &'static str) {
    alone(async {
        let extra = json!({ "memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS });
        let mut trial = Trial::start_with(extra).await;
        let address = trial.address(port);
        trial.add_callers(count, |_| async move {
            loop {
                if let Ok(mut stream) = connect(address).await {
                    let _ = stream.write_all(bytes.as_bytes()).await;
                    let mut buf = [0; 1_024];
                    // Ends when the router closes the connection.
                    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
        let readiness = trial.address("readiness");
        sleep(WATCHED / 2).await;
        let ready = timeout(ANSWER_TIME, Caller::new(readiness).get("/ready")).await;
        trial.check(DESCRIPTORS).await;
        assert_eq!(ready.map_or(0, |page| page.status), 200, "readiness page");
    });
}

// Guards against connections that take all descriptors, so that none is left for servers and pages.
#[test]
fn callers_who_hold_half_a_head_and_come_again_leave_descriptors_to_others() {
    check_connections("callers", 600, "POST /plain/x HTTP/1.1\r\nHost:");
}

#[test]
fn callers_who_hold_silent_connections_leave_descriptors_to_others() {
    check_connections("callers", 600, "");
}

#[test]
fn callers_who_hold_connections_to_the_readiness_page_leave_descriptors_to_others() {
    check_connections("readiness", 600, "GET /ready HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_metrics_page_leave_descriptors_to_others() {
    check_connections("metrics_port", 600, "GET /metrics HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_bootstrap_page_leave_descriptors_to_others() {
    check_connections("bootstrap", 600, "GET /snapshot HTTP/1.1\r\n");
}

#[test]
fn callers_who_hold_connections_to_the_port_of_routers_leave_descriptors_to_others() {
    check_connections("peer_port", 600, "GET /tunnel/0 HTTP/1.1\r\n");
}

/// Sends `requests` requests one after the other, each with `parts` parts of a prompt that nobody else
/// sends.
async fn send_new_parts(address: SocketAddr, caller: usize, requests: usize, parts: usize) {
    let Ok(mut stream) = connect(address).await else {
        return;
    };
    let mut buf = vec![0; 4_096];
    for n in 0..requests {
        let first = (caller * requests + n) * parts;
        let parts: Vec<_> = (first..first + parts)
            .map(|id| format!("{id:x}:1"))
            .collect();
        let head = head("/plain/x", &format!("crowd-{caller}-{n}"), 0);
        let prompt = format!(
            "X-Turmerichollow-Model: {MODEL}\r\nX-Turmerichollow-Token-Usage: 1000,1\r\n\
             X-Turmerichollow-Prefix-Hash: {}\r\n\r\n",
            parts.join(",")
        );
        let request = head.replace("Content-Length: 0\r\n\r\n", &prompt);
        let sent = stream.write_all(request.as_bytes()).await;
        if sent.is_err() || !stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
            return;
        }
    }
}

// Guards against what stays of prompt parts that never come again.
#[test]
fn callers_who_never_repeat_a_prompt_part_leave_memory_to_others() {
    alone(async {
        let mut registration = crowd_server::start().await;
        registration["Models"] = json!([{ "Name": MODEL, "Version": 1 }]);
        let extra = json!({ "memory_mb": MEMORY_MB });
        let mut trial = Trial::start_before(registration, extra).await;
        let address = trial.router.address;
        trial.add_callers(40, |i| send_new_parts(address, i, 250, 1_000));
        trial.check(usize::MAX).await;
    });
}

/// Asks for `path` in calm, reads the head, stands still and reads on at a pace. Returns the response.
async fn pause_and_read(address: SocketAddr, path: &str, paused: Duration) -> Vec<u8> {
    let mut stream = connect(address).await.unwrap();
    stream
        .write_all(head(path, "honest", 0).as_bytes())
        .await
        .unwrap();
    let mut response = vec![0; 100];
    stream.read_exact(&mut response).await.unwrap();
    sleep(paused).await;
    let mut buf = vec![0; 64 << 10];
    while let Ok(Ok(len)) = timeout(ANSWER_TIME, stream.read(&mut buf)).await {
        if len == 0 {
            break;
        }
        response.extend_from_slice(&buf[..len]);
        if response.ends_with(b"0\r\n\r\n") || is_whole(&response) {
            break;
        }
    }
    response
}

/// Returns whether a response with a length is whole.
fn is_whole(response: &[u8]) -> bool {
    let Some(end) = response.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&response[..end]).to_lowercase();
    let mut lines = head.lines();
    let len = lines.find_map(|line| line.strip_prefix("content-length: "));
    len.is_some_and(|len| len.parse::<usize>() == Ok(response.len() - end - 4))
}

/// Checks that a caller in calm that stands still for a while gets its whole response, and that the log
/// says so.
fn check_paused_caller(path: &'static str, is_complete: fn(&[u8]) -> bool) {
    alone(async {
        let trial = Trial::start().await;
        let address = trial.router.address;
        let response = pause_and_read(address, path, Duration::from_secs(4)).await;
        assert!(is_complete(&response), "{} bytes", response.len());
        sleep(Duration::from_millis(500)).await;
        let served = "id=\"honest\"";
        let log = trial.router.log();
        let mut lines = log.lines().filter(|line| line.contains("event=request "));
        let line = lines.find(|line| line.contains(served)).unwrap_or_default();
        assert!(line.contains("outcome=served"), "{line}");
    });
}

// Guards against honest slow callers that are reset, as the kernel counts a closed window as no sign of life.
#[test]
fn callers_who_pause_within_a_body_in_calm_are_served_whole() {
    check_paused_caller("/plain/body-100000", is_whole);
    check_paused_caller("/plain/body-1048576", is_whole);
}

#[test]
fn callers_who_pause_within_a_stream_in_calm_are_served_whole() {
    let is_complete = |response: &[u8]| response.ends_with(b"0\r\n\r\n");
    check_paused_caller("/fixed/events-25-4000", is_complete);
    check_paused_caller("/fixed/events-250-4200", is_complete);
}

// Guards against callers in calm that read slowly without a pause and are cut.
#[test]
fn callers_who_read_slowly_in_calm_are_served_whole() {
    alone(async {
        let trial = Trial::start().await;
        let reading = Reading::Paced {
            bytes: 4 << 10,
            interval_ms: 1_000,
        };
        let address = trial.router.address;
        let read = request(address, "/plain/body-65536", "honest", reading);
        // It ends when the router closes the idle connection.
        let response = timeout(Duration::from_secs(60), read).await.unwrap();
        assert!(is_whole(&response), "{} bytes", response.len());
        let log = trial.router.log();
        let mut lines = log.lines().filter(|line| line.contains("id=\"honest\""));
        let served = lines.any(|line| line.contains("outcome=served"));
        assert!(served, "not served in the log");
    });
}

// Guards against a log that says that a response was served which its caller didn't get.
#[test]
fn callers_who_leave_before_the_end_arent_logged_as_served() {
    alone(async {
        let trial = Trial::start().await;
        for path in ["/plain/body-1048576", "/fixed/events-40-60000"] {
            let mut stream = connect(trial.router.address).await.unwrap();
            let bytes = head(path, "leaver", 0);
            stream.write_all(bytes.as_bytes()).await.unwrap();
            let mut buf = [0; 100];
            stream.read_exact(&mut buf).await.unwrap();
            sleep(Duration::from_secs(1)).await;
            drop(stream);
        }
        sleep(Duration::from_secs(1)).await;
        let log = trial.router.log();
        let ended: Vec<_> = log
            .lines()
            .filter(|line| line.contains("event=request ") && line.contains("id=\"leaver\""))
            .collect();
        assert_eq!(ended.len(), 2, "{ended:?}");
        assert!(
            ended.iter().all(|line| !line.contains("outcome=served")),
            "{ended:?}"
        );
    });
}

// Guards against a process that waits for callers who never take their responses.
#[test]
fn callers_who_read_nothing_dont_keep_the_process_from_ending() {
    alone(async {
        let mut trial = Trial::start().await;
        trial.add_readers(120, "/plain/body-1048576", Reading::Nothing);
        sleep(Duration::from_secs(1)).await;
        trial.router.signal(Signal::TERM);
        let peak = ProcessUsage::peak(trial.router.id(), Duration::from_secs(STOP_S)).await;
        let ended = timeout(STOP_TIME, async {
            while trial.router.runs() {
                sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(ended.await.is_ok(), "the process doesn't end");
        let memory_mb = peak.memory_bytes >> 20;
        assert!(memory_mb < MEMORY_MB, "{memory_mb} MB");
    });
}
