//! `explain` against a router with stand-in engines.

use std::net::SocketAddr;
use std::path::Path;

use ctl::Error;
use ctl::ExitCode;
use ctl::ExplainCommand;
use standins::token_of;
use standins::EngineRecord;
use standins::Fleet;
use standins::FleetSettings;
use tempfile::TempDir;

/// Returns a folder with a file that contains the body of a completion request.
fn request_file() -> TempDir {
    let dir = TempDir::new().expect("create a folder");
    let body = r#"{"model":"base","prompt":"Dear panel","max_tokens":3}"#;
    std::fs::write(dir.path().join("request.json"), body).expect("write the file");
    dir
}

fn explain(dir: &Path, router: SocketAddr, token: &str) -> ExplainCommand {
    ExplainCommand {
        file: dir.join("request.json"),
        router,
        token: token.to_owned(),
        priority: None,
        deadline_ms: None,
        chat: false,
    }
}

#[tokio::test]
async fn a_completion_is_explained_without_running_it() {
    let fleet = Fleet::start(FleetSettings::new(3, 1)).await.expect("start");
    let dir = request_file();
    let command = explain(dir.path(), fleet.router(0).address(), &token_of("trust"));

    let outcome = command.run().await.expect("explain");

    let engines = outcome.json["engines"].as_array().expect("a list");
    let ran = fleet.engines.iter().flat_map(|engine| engine.ledger());
    let ran = ran.filter(|record| matches!(record, EngineRecord::Ran { .. }));
    assert_eq!(outcome.code, ExitCode::Ok);
    assert_eq!(engines.len(), 3);
    assert_eq!(outcome.json["verdict"]["verdict"], "sent");
    assert_eq!(ran.count(), 0);
}

#[tokio::test]
async fn a_wrong_token_is_reported() {
    let fleet = Fleet::start(FleetSettings::new(1, 1)).await.expect("start");
    let dir = request_file();
    let command = explain(dir.path(), fleet.router(0).address(), "wrong");

    let error = command.run().await.expect_err("refuse");

    assert!(matches!(error, Error::Router { .. }));
    assert!(error.to_string().contains("bad_token"), "{error}");
}
