//! A backend server whose responses are as large as the path of the request says.
#![allow(dead_code)]

use std::io;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::common::http_message;
use crate::common::wire;

/// Requests that it runs at once.
const SLOTS: u32 = 4_000;

/// Time after which a late response comes.
const LATE: Duration = Duration::from_secs(12);

/// Starts a server and returns its registration.
///
/// It responds to `/…/body-N` with a body of N bytes, to `/…/events-C-S` with a stream of C events of S
/// bytes, to `/…/late` after a while, and to all else at once with a few bytes.
pub async fn start() -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    wire::registration(address, SLOTS)
}

/// Returns the head by which a router asks another one for a connection to the server.
pub fn tunnel_head() -> String {
    let instance = policy::name_hash("i-0") ^ wire::BORN;
    format!(
        "GET /tunnel/{instance:016x} HTTP/1.1\r\nHost: router\r\nConnection: upgrade\r\n\
         Upgrade: framed-tunnel\r\n\r\n"
    )
}

/// Returns the event with a number in a stream of events of `len` bytes.
pub fn event(number: usize, len: usize) -> String {
    let head = format!("id: {number}\ndata: ");
    let filler = "x".repeat(len - head.len() - 2);
    format!("{head}{filler}\n\n")
}

async fn serve(mut stream: TcpStream) {
    while let Some(message) = http_message::read(&mut stream).await {
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let id = wire::request_id(&message.head).unwrap_or("none");
        if respond(&mut stream, path, id).await.is_err() {
            return;
        }
    }
}

async fn respond(stream: &mut TcpStream, path: &str, id: &str) -> io::Result<()> {
    let name = path.rsplit('/').next().unwrap_or_default();
    let parts: Vec<_> = name.split('-').collect();
    let number = |i: usize| parts[i].parse::<usize>().unwrap();
    match parts[0] {
        "body" => respond_whole(stream, id, &"x".repeat(number(1))).await,
        "events" => respond_stream(stream, id, number(1), number(2)).await,
        "late" => {
            sleep(LATE).await;
            respond_whole(stream, id, "hello").await
        }
        _ => respond_whole(stream, id, "hello").await,
    }
}

async fn respond_whole(stream: &mut TcpStream, id: &str, body: &str) -> io::Result<()> {
    let head = wire::response_head(id);
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await
}

async fn respond_stream(
    stream: &mut TcpStream,
    id: &str,
    count: usize,
    len: usize,
) -> io::Result<()> {
    let head = wire::response_head(id);
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(framing.as_bytes()).await?;
    for number in 1..=count {
        let event = event(number, len);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}
