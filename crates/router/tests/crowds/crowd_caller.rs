//! A caller whose connection takes little at once, as over a link with a small window.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::common::wire;

/// Size of the receive buffer, in bytes, before the kernel doubles it.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Largest segment, in bytes; on the loopback interface the kernel takes 64 KiB at once otherwise.
const SEGMENT_BYTES: u32 = 536;

/// Time limit that its requests name, in milliseconds.
pub const DEADLINE_MS: u64 = 14_000;

/// How a caller reads its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Not at all.
    Nothing,
    /// Up to so many bytes at each interval, in milliseconds.
    Paced { bytes: usize, interval_ms: u64 },
}

/// Connects with a small window.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect(address).await
}

/// Returns the head of a request with a body of `body_len` bytes.
pub fn head(path: &str, id: &str, body_len: usize) -> String {
    let head = wire::request_head(path, id, DEADLINE_MS);
    format!("{head}Content-Length: {body_len}\r\n\r\n")
}

/// Sends a request and reads the response in a way until the connection ends. Returns what was read.
pub async fn request(address: SocketAddr, path: &str, id: &str, reading: Reading) -> Vec<u8> {
    let mut response = Vec::new();
    let Ok(mut stream) = connect(address).await else {
        return response;
    };
    if stream
        .write_all(head(path, id, 0).as_bytes())
        .await
        .is_err()
    {
        return response;
    }
    let (bytes, interval) = match reading {
        Reading::Nothing => return hold(stream).await,
        Reading::Paced { bytes, interval_ms } => (bytes, Duration::from_millis(interval_ms)),
    };
    let mut buf = vec![0; bytes];
    loop {
        sleep(interval).await;
        match stream.read(&mut buf).await {
            Ok(len) if len > 0 => response.extend_from_slice(&buf[..len]),
            _ => return response,
        }
    }
}

/// Sends bytes on a connection of its own and keeps that open without reading, until its task is dropped.
pub async fn send_and_hold(address: SocketAddr, bytes: &str) {
    let Ok(mut stream) = connect(address).await else {
        return;
    };
    // Fails if the router has closed the connection.
    let _ = stream.write_all(bytes.as_bytes()).await;
    hold(stream).await
}

/// Keeps a connection open without reading, until its task is dropped.
pub async fn hold<R>(_stream: TcpStream) -> R {
    std::future::pending().await
}
