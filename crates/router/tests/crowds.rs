//! Crowds of callers that make a router hold bytes, before one router as a process of its own.

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

use rustix::process::Signal;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

use common::wire;
use common::MODEL;
use crowd_caller::connect;
use crowd_caller::head;
use crowd_caller::send_and_hold;
use crowd_caller::Reading;
use crowd_caller::DEADLINE_MS;
use process_usage::ProcessUsage;
use trial::alone;
use trial::Trial;
use trial::MEMORY_MB;
use trial::STOP_S;
use trial::STOP_TIME;

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

// Guards against unread bytes of servers, which the kernel holds for the process.
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
            let head = format!("POST /plain/x HTTP/1.1\r\nX-Filler: {}", "x".repeat(15_000));
            send_and_hold(address, &head).await
        });
        trial.check(usize::MAX).await;
    });
}

// Guards against unread bytes that a caller sends behind its request.
#[test]
fn callers_who_send_on_behind_a_request_leave_memory_to_others() {
    alone(async {
        let mut trial = Trial::start().await;
        let address = trial.router.address;
        trial.add_callers(700, |i| async move {
            let head = head("/fixed/events-40-60000", &format!("crowd-{i}"), 0);
            let bytes = format!("{head}{}", "x".repeat(400_000));
            send_and_hold(address, &bytes).await
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
            let bytes = format!("{}x", head("/plain/x", &format!("crowd-{i}"), 30_000));
            send_and_hold(address, &bytes).await
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
            let head = head("/plain/late", &format!("crowd-{i}"), 4_000_000);
            let bytes = format!("{head}{}", "x".repeat(4_000_000));
            send_and_hold(address, &bytes).await
        });
        trial.check(usize::MAX).await;
    });
}

/// Sends `requests` requests one after the other, each with `parts` parts of a prompt that are
/// sent once.
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
        let head = wire::request_head("/plain/x", &format!("crowd-{caller}-{n}"), DEADLINE_MS);
        let prompt = wire::prompt_lines(&parts, parts.len());
        let request = format!("{head}{prompt}\r\n");
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
