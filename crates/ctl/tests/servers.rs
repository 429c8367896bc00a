//! `servers` against a page of a router.

use std::net::SocketAddr;

use ctl::ExitCode;
use ctl::ServersCommand;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const PAGE: &str = r#"[
    {"server":"i-2","service":"engines","build":"v2","weights":{"long":3},"obstacle":"no_permit","ready_in_ms":240,
     "limit_per_s":3.3,"requests":4,"slots":24,"unresponsive_ms":0,"entry_age_ms":90},
    {"server":"i-1","service":"bookings","build":"v1","weights":{},"obstacle":null,"ready_in_ms":0,
     "limit_per_s":null,"requests":0,"slots":6,"unresponsive_ms":0,"entry_age_ms":90}
]"#;

/// Serves the page once, and returns its address.
async fn page() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let len = stream.read(&mut buf).await.unwrap();
        assert!(buf[..len].starts_with(b"GET /servers HTTP/1.1\r\n"));
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{PAGE}",
            PAGE.len()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    address
}

fn command(router: SocketAddr, service: Option<&str>) -> ServersCommand {
    ServersCommand {
        router,
        service: service.map(str::to_owned),
    }
}

#[tokio::test]
async fn each_server_is_shown_with_what_keeps_it_from_requests() {
    let outcome = command(page().await, None).run().await.unwrap();
    let lines: Vec<&str> = outcome.text.lines().collect();
    assert_eq!(outcome.code, ExitCode::Ok);
    assert!(lines[1].starts_with("i-1"), "{lines:?}");
    assert!(lines[2].ends_with("NoPermit, 240 ms"), "{lines:?}");
}

#[tokio::test]
async fn the_exit_code_says_if_no_server_of_a_service_gets_requests() {
    let outcome = command(page().await, Some("engines")).run().await.unwrap();
    assert_eq!(outcome.code, ExitCode::Refused);
}
