//! Callers that don't behave, for the soak.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::common::wire;

/// Time between two bytes of a caller that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit that its requests name, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// What a caller does with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddCaller {
    /// Sends a request and stops reading.
    StopsReading,
    /// Reads the response byte by byte.
    DripsReading,
    /// Sends a request byte by byte.
    DripsRequest,
    /// Names a body and sends a part of it.
    HoldsBody,
    /// Sends a part of a head.
    HoldsHead,
    /// Sends nothing.
    HoldsConnection,
}

const ALL: [OddCaller; 6] = [
    OddCaller::StopsReading,
    OddCaller::DripsReading,
    OddCaller::DripsRequest,
    OddCaller::HoldsBody,
    OddCaller::HoldsHead,
    OddCaller::HoldsConnection,
];

impl OddCaller {
    pub fn draw(rng: &mut ChaCha8Rng) -> OddCaller {
        ALL[rng.random_range(0..ALL.len())]
    }

    /// Returns what it sends of a request with a path and an id.
    fn bytes(self, path: &str, id: &str) -> String {
        let head = wire::request_head(path, id, DEADLINE_MS);
        match self {
            OddCaller::HoldsBody => format!("{head}Content-Length: 3000\r\n\r\nx"),
            OddCaller::HoldsHead => head,
            OddCaller::HoldsConnection => String::new(),
            _ => format!("{head}Content-Length: {}\r\n\r\n{id}", id.len()),
        }
    }

    /// Keeps a connection to a router for up to `time`.
    pub async fn misbehave(self, router: SocketAddr, path: &str, id: &str, time: Duration) {
        // The router or the caller may end the connection at any point.
        let _ = tokio::time::timeout(time, self.use_connection(router, path, id)).await;
    }

    async fn use_connection(self, router: SocketAddr, path: &str, id: &str) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(router).await?;
        let bytes = self.bytes(path, id);
        if self == OddCaller::DripsRequest {
            for byte in bytes.as_bytes() {
                stream.write_all(&[*byte]).await?;
                sleep(DRIP_INTERVAL).await;
            }
        } else {
            stream.write_all(bytes.as_bytes()).await?;
        }
        match self {
            OddCaller::DripsReading | OddCaller::DripsRequest => loop {
                stream.read_u8().await?;
                sleep(DRIP_INTERVAL).await;
            },
            _ => std::future::pending().await,
        }
    }
}
