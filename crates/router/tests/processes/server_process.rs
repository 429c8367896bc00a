//! A backend server as a process of its own, which faults kill and restart.
//!
//! The process is the test's own executable, which runs the ignored test [`SERVER_TEST`] alone.
#![allow(dead_code)]

use std::cell::Cell;
use std::cell::RefCell;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::common::free_address;
use crate::common::http_message;
use crate::common::http_message::header;
use crate::common::http_message::HttpMessage;
use crate::common::wire;

/// Name of the test that is the process.
pub const SERVER_TEST: &str = "serves_as_a_process";

/// Environment variable with the settings of the process, as JSON.
const SETTINGS: &str = "BACKEND_SERVER_SETTINGS";

/// Pieces of a whole response, and the time between two.
pub const PIECES: u64 = 20;
const PIECE_INTERVAL: Duration = Duration::from_millis(15);

/// Requests that a server runs at once.
const SLOTS: u32 = 64;

/// Time in which a process must accept connections.
const START_TIME: Duration = Duration::from_secs(10);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

impl Framing {
    fn header(self, body_len: usize) -> String {
        match self {
            Framing::Length => format!("Content-Length: {body_len}\r\n"),
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Connection => String::new(),
        }
    }

    fn piece(self, text: &str) -> String {
        match self {
            Framing::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            _ => text.to_owned(),
        }
    }

    fn end(self) -> &'static str {
        match self {
            Framing::Chunks => "0\r\n\r\n",
            _ => "",
        }
    }
}

/// Returns a piece of the response to a request with a path.
fn piece(path: &str, number: u64) -> String {
    if path.starts_with("/stream/") || path.starts_with("/fixed/") {
        format!("id: {number}\ndata: token {number}\n\n")
    } else {
        format!("piece {number};")
    }
}

/// Returns the body of a whole response to a request with a path.
pub fn whole_body(path: &str) -> String {
    (1..=PIECES).map(|number| piece(path, number)).collect()
}

/// A backend server process that can be killed and started again.
pub struct ServerProcess {
    pub id: String,
    pub address: SocketAddr,
    framing: Framing,
    /// File with the id of each request that was run, a line each.
    runs: PathBuf,
    incarnation: Cell<u64>,
    /// Whether it was killed and not yet started again.
    killed: Cell<bool>,
    child: RefCell<Child>,
}

impl ServerProcess {
    /// Starts a server and waits until it accepts connections.
    pub async fn start(dir: &TempDir, id: &str, framing: Framing) -> ServerProcess {
        let address = free_address();
        let runs = dir.path().join(format!("{id}.runs"));
        std::fs::write(&runs, "").unwrap();
        let server = ServerProcess {
            child: RefCell::new(spawn(id, address, framing, &runs, 1)),
            id: id.to_owned(),
            address,
            framing,
            runs,
            incarnation: Cell::new(1),
            killed: Cell::new(false),
        };
        server.wait_until_it_accepts().await;
        server
    }

    /// Returns its registration, with the address at which routers reach it.
    pub fn registration_at(&self, address: SocketAddr) -> serde_json::Value {
        let mut registration = wire::registration(address, SLOTS);
        registration["born"] = json!(self.incarnation.get());
        registration
    }

    /// Kills the process; the kernel closes its connections. Returns whether it ran.
    pub fn kill(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ran = child.try_wait().unwrap().is_none();
        // The process may have ended already.
        let _ = child.kill();
        child.wait().unwrap();
        self.killed.set(true);
        ran
    }

    /// Starts its next incarnation at the same address.
    pub async fn restart(&self) {
        self.killed.set(false);
        self.incarnation.set(self.incarnation.get() + 1);
        self.spawn_again();
        self.wait_until_it_accepts().await;
    }

    fn spawn_again(&self) {
        let incarnation = self.incarnation.get();
        let child = spawn(
            &self.id,
            self.address,
            self.framing,
            &self.runs,
            incarnation,
        );
        let mut former = self.child.replace(child);
        former.wait().unwrap();
    }

    fn has_ended(&self) -> bool {
        self.child.borrow_mut().try_wait().unwrap().is_some()
    }

    /// Returns how often it has run a request.
    pub fn executions(&self, id: &str) -> usize {
        let runs = std::fs::read_to_string(&self.runs).unwrap();
        runs.lines().filter(|line| *line == id).count()
    }

    async fn wait_until_it_accepts(&self) {
        let accepts = async {
            while TcpStream::connect(self.address).await.is_err() || self.has_ended() {
                // Another test on this machine may have its port for a moment. A server that was
                // killed meanwhile is restarted by whoever killed it.
                if self.has_ended() && !self.killed.get() {
                    self.spawn_again();
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let accepted = tokio::time::timeout(START_TIME, accepts).await;
        accepted.expect("the server process should accept connections");
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(id: &str, address: SocketAddr, framing: Framing, runs: &Path, incarnation: u64) -> Child {
    let framing = FRAMINGS.iter().position(|one| *one == framing);
    let settings = json!({
        "id": id, "address": address, "framing": framing, "runs": runs, "born": incarnation,
    });
    Command::new(std::env::current_exe().unwrap())
        .args(["--exact", SERVER_TEST, "--ignored", "--nocapture"])
        .env(SETTINGS, settings.to_string())
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

/// What a server process knows of itself.
struct Server {
    id: String,
    framing: Framing,
    runs: PathBuf,
    born: u64,
}

/// Serves until the process is killed. Does nothing in a process that is no server.
pub async fn serve_as_a_process() {
    let Ok(settings) = std::env::var(SETTINGS) else {
        return;
    };
    let settings: serde_json::Value = serde_json::from_str(&settings).unwrap();
    let server = Server {
        id: settings["id"].as_str().unwrap().to_owned(),
        framing: FRAMINGS[settings["framing"].as_u64().unwrap() as usize],
        runs: settings["runs"].as_str().unwrap().into(),
        born: settings["born"].as_u64().unwrap(),
    };
    let server = std::rc::Rc::new(server);
    let address = settings["address"].as_str().unwrap();
    let listener = TcpListener::bind(address).await.unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let server = std::rc::Rc::clone(&server);
        spawn_local(async move { server.serve(stream).await });
    }
}

impl Server {
    async fn serve(&self, mut stream: TcpStream) {
        while let Some(message) = http_message::read(&mut stream).await {
            let written = match wire::request_id(&message.head) {
                Some(id) => self.respond(&mut stream, &message, id).await,
                None => stream.write_all(self.status().as_bytes()).await,
            };
            let is_over = self.framing == Framing::Connection;
            if written.is_err() || is_over {
                return;
            }
        }
    }

    /// Returns the response to a question about its state.
    fn status(&self) -> String {
        let body = json!({ "born": self.born }).to_string();
        let head = wire::health_head(&self.id);
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }

    /// Runs a request and sends the response piece by piece.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        message: &HttpMessage,
        id: &str,
    ) -> std::io::Result<()> {
        let mut runs = OpenOptions::new().append(true).open(&self.runs)?;
        writeln!(runs, "{id}")?;
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let after = header(&message.head, "last-event-id").and_then(|id| id.parse().ok());
        let numbers = after.unwrap_or(0) + 1..=PIECES;
        let body_len = numbers.clone().map(|n| piece(path, n).len()).sum();
        let framing = self.framing.header(body_len);
        let head = wire::unnamed_response_head(id);
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n");
        stream.write_all(head.as_bytes()).await?;
        for number in numbers {
            let text = self.framing.piece(&piece(path, number));
            stream.write_all(text.as_bytes()).await?;
            sleep(PIECE_INTERVAL).await;
        }
        stream.write_all(self.framing.end().as_bytes()).await
    }
}
