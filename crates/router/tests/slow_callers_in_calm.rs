//! Honest callers that are slow while there are no others, before one router as a process of its own.

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
#[path = "crowds/trial.rs"]
mod trial;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crowd_caller::connect;
use crowd_caller::head;
use crowd_caller::request;
use crowd_caller::Reading;
use trial::alone;
use trial::Trial;
use trial::ANSWER_TIME;

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
