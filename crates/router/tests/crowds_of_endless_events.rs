//! Callers of a service whose servers send events that never end, before one router as a process of its own.
//! Requests of another service must be served meanwhile.

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

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use common::caller::Caller;
use common::endless_server::Endless;
use common::endless_server::EndlessServer;
use common::wire;
use crowd_caller::head;
use process_usage::ProcessUsage;
use trial::alone;
use trial::patient_configuration;
use trial::Trial;
use trial::MEMORY_MB;

/// Number of servers of the faulty service.
const FAULTY_SERVERS: usize = 3;

/// Slots of each.
const SLOTS: u32 = 400;

/// Requests of the other service, and the interval between them.
const ORDINARY: usize = 14;
const INTERVAL: Duration = Duration::from_millis(500);

/// Time in which the router reads the registrations.
const SETTLED: Duration = Duration::from_millis(2_000);

/// Pause of a caller before its next request.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends requests for streams, one after the other, and reads each response as fast as it arrives.
async fn read_streams(address: SocketAddr, caller: usize) {
    for request in 0.. {
        let _ = read_stream(address, &format!("crowd-{caller}-{request}")).await;
        sleep(PAUSE).await;
    }
}

async fn read_stream(address: SocketAddr, id: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let path = format!("/fixed/{id}");
    stream.write_all(head(&path, id, 0).as_bytes()).await?;
    let mut buf = vec![0; 16 << 10];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

/// Checks that all requests of another service are served beside `callers` callers of the faulty one.
fn check(callers: usize) {
    alone(async {
        // Arrange
        let faulty = EndlessServer::start(Endless::Event);
        let mut trial = Trial::start_before(
            crowd_server::start().await,
            json!({ "memory_mb": MEMORY_MB }),
        )
        .await;
        let mut registration = wire::registration(faulty.address, SLOTS);
        registration["Service"] = json!("faulty");
        for i in 0..FAULTY_SERVERS {
            trial.put(&format!("servers/faulty-{i}"), &registration);
        }
        let mut configuration = patient_configuration();
        configuration["Version"] = json!(2);
        configuration["Routes"][3]["Service"] = json!("faulty");
        let services = configuration["Services"].as_array_mut().unwrap();
        services.push(json!({ "Name": "faulty", "MaxConnections": 4_000 }));
        trial.put("op/config", &configuration);
        sleep(SETTLED).await;
        let address = trial.router.address;

        // Act
        trial.add_callers(callers, |i| read_streams(address, i));
        let caller = Caller::new(address);
        let mut served = 0;
        let mut memory_mb = 0;
        for i in 0..ORDINARY {
            sleep(INTERVAL).await;
            let response = caller
                .post("/plain/ordinary", &format!("ordinary-{i}"))
                .await;
            served += usize::from(response.status == 200);
            memory_mb = memory_mb.max(ProcessUsage::of(trial.router.id()).memory_bytes >> 20);
        }

        // Assert
        println!("{callers} callers: {served} of {ORDINARY} served, {memory_mb} MB");
        assert!(faulty.sent() > 0, "no request reached the faulty servers");
        assert!(trial.router.runs(), "the process has ended");
        assert_eq!(served, ORDINARY);
        assert!(memory_mb < MEMORY_MB, "{memory_mb} MB");
    });
}

// Guards against events without end of one service that fill the buffers, so that requests of others are refused.
#[test]
fn a_hundred_readers_of_events_without_end_leave_room_to_other_services() {
    check(100);
}

#[test]
fn two_hundred_readers_of_events_without_end_leave_room_to_other_services() {
    check(200);
}
