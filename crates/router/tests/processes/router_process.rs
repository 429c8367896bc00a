//! A router as a process of its own, which faults signal and restart.
#![allow(dead_code)]

use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::common::free_address;

/// The program that a router process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Program {
    /// `turmerichollow forward`.
    Forward,
    /// `turmerichollow` without a subcommand.
    Completions,
}

/// A router process that is restarted after it ends.
pub struct RouterProcess {
    program: Program,
    settings: PathBuf,
    pub address: SocketAddr,
    child: RefCell<Child>,
}

impl RouterProcess {
    /// Starts a router whose store is at an address, and which may take three seconds to stop.
    pub fn start(dir: &TempDir, name: &str, store: SocketAddr) -> RouterProcess {
        RouterProcess::start_with(dir, name, store, 3)
    }

    /// Starts a router that may take `stop_s` seconds to stop.
    pub fn start_with(dir: &TempDir, name: &str, store: SocketAddr, stop_s: u64) -> RouterProcess {
        RouterProcess::start_with_settings(dir, settings(name, store, stop_s))
    }

    /// Starts a router with the settings given.
    pub fn start_with_settings(dir: &TempDir, settings: Value) -> RouterProcess {
        let name = settings["name"].as_str().unwrap();
        let address = settings["listen"]["callers"].as_str().unwrap();
        RouterProcess::start_program(Program::Forward, dir, name, address, &settings)
    }

    /// Starts the program without `forward` with the settings given.
    pub fn start_without_forward(dir: &TempDir, settings: &Value) -> RouterProcess {
        let name = settings["vm"].as_str().unwrap();
        let address = settings["listen"].as_str().unwrap();
        RouterProcess::start_program(Program::Completions, dir, name, address, settings)
    }

    fn start_program(
        program: Program,
        dir: &TempDir,
        name: &str,
        address: &str,
        settings: &Value,
    ) -> RouterProcess {
        let path = dir.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        RouterProcess {
            program,
            child: RefCell::new(spawn(program, &path)),
            settings: path,
            address: address.parse().unwrap(),
        }
    }

    /// Sends a signal to the process and returns its process id.
    pub fn signal(&self, signal: Signal) -> u32 {
        let child = self.child.borrow();
        // Signalling fails if the process has just ended, and is not needed then.
        let _ = kill_process(Pid::from_child(&child), signal);
        child.id()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        let path = self.settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns whether the process runs.
    pub fn runs(&self) -> bool {
        self.child.borrow_mut().try_wait().unwrap().is_none()
    }

    /// Restarts the router once process `id` has ended, unless another fault already did.
    pub async fn restart(&self, id: u32) {
        while !self.is_replaced(id) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Replaces process `id` if it has ended. Returns whether another process runs now.
    fn is_replaced(&self, id: u32) -> bool {
        let mut child = self.child.borrow_mut();
        if child.id() == id && child.try_wait().unwrap().is_some() {
            *child = spawn(self.program, &self.settings);
        }
        child.id() != id
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let mut child = self.child.borrow_mut();
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the settings of a router whose store is at an address, and which may take `stop_s` seconds to
/// stop.
pub fn settings(name: &str, store: SocketAddr, stop_s: u64) -> Value {
    json!({
        "name": name, "domain": "a", "regions": { "a": "r" },
        "listen": {
            "callers": free_address(), "readiness": free_address(),
            "peer_port": free_address().port(), "metrics_port": free_address().port(),
        },
        "store": store, "stop_s": stop_s, "repeat_ratio": 0.2, "repeat_reserve": 60, "fenced": true,
    })
}

/// Returns the log file of a router: in the directory `SOAK_LOGS`, otherwise beside its settings.
fn log_file(settings: &Path) -> Stdio {
    let log = settings.with_extension("log");
    let path = match std::env::var_os("SOAK_LOGS") {
        Some(dir) => Path::new(&dir).join(log.file_name().unwrap()),
        None => log,
    };
    let file = File::options().create(true).append(true).open(path);
    file.unwrap().into()
}

fn spawn(program: Program, settings: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_turmerichollow"));
    match program {
        Program::Forward => command.arg("forward").stdout(log_file(settings)),
        Program::Completions => command.stderr(log_file(settings)),
    };
    command.arg("--settings").arg(settings).spawn().unwrap()
}
