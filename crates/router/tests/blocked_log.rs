//! A forwarding router whose log output is not read.

use std::io::PipeWriter;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

/// Time that a stop may take, in seconds.
const STOP_S: u64 = 5;

/// Time in which the router starts.
const STARTED: Duration = Duration::from_secs(10);

/// Interval at which the process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns an address on which nothing listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Writes settings of a router whose store doesn't respond.
fn write_settings(dir: &TempDir, callers: SocketAddr) -> PathBuf {
    let path = dir.path().join("settings.json");
    let settings = json!({
        "name": "router-1", "domain": "a", "regions": { "a": "r" },
        "listen": {
            "callers": callers, "readiness": free_address(),
            "peer_port": free_address().port(), "metrics_port": free_address().port(),
        },
        "store": free_address(), "stop_s": STOP_S,
    });
    std::fs::write(&path, settings.to_string()).unwrap();
    path
}

/// Fills a pipe, so that the next write to it blocks.
fn fill(pipe: &PipeWriter) {
    let mut pipe = pipe.try_clone().unwrap();
    // The thread blocks until the pipe's reader is dropped at the end of the test.
    thread::spawn(move || pipe.write_all(&[0; 1 << 20]));
    thread::sleep(Duration::from_millis(200));
}

/// A router process that ends with the test.
struct RouterProcess(Child);

impl RouterProcess {
    fn start(settings: &PathBuf, log: PipeWriter) -> RouterProcess {
        let child = Command::new(env!("CARGO_BIN_EXE_turmerichollow"))
            .arg("forward")
            .arg("--settings")
            .arg(settings)
            .stdout(log)
            .spawn();
        RouterProcess(child.unwrap())
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_until_listening(callers: SocketAddr) {
    let began = Instant::now();
    while TcpStream::connect(callers).is_err() {
        assert!(began.elapsed() < STARTED);
        thread::sleep(POLL_INTERVAL);
    }
}

// Guards against a stopped process that waits for the reader of its log until it is killed.
#[test]
fn a_router_whose_log_is_not_read_ends_within_the_time_of_a_stop() {
    // Arrange
    let dir = TempDir::new().unwrap();
    let callers = free_address();
    let settings = write_settings(&dir, callers);
    let (_reader, log) = std::io::pipe().unwrap();
    fill(&log);
    let mut process = RouterProcess::start(&settings, log);
    wait_until_listening(callers);

    // Act
    let signalled_at = Instant::now();
    kill_process(Pid::from_child(&process.0), Signal::TERM).unwrap();
    let limit = Duration::from_secs(STOP_S);
    let mut status = None;
    while status.is_none() && signalled_at.elapsed() < limit {
        thread::sleep(POLL_INTERVAL);
        status = process.0.try_wait().unwrap();
    }

    // Assert
    let status = status.expect("the process was still there at the end of the stop time");
    assert!(status.success(), "{status}");
}
