//! Command lines as operators type them, against a platform that is served over HTTP.

mod operator;

use argh::FromArgs;
use ctl::global_options_first;
use ctl::Arguments;
use ctl::ExitCode;
use ctl::Outcome;
use platform::KeyValue;
use standins::Platform;
use standins::PlatformServer;

use crate::operator::list_router;
use crate::operator::publish_status;
use crate::operator::Operator;

const FILE: &str = r#"{"models": {"m": {"weights_version": 1}},
    "backend_servers": {"b": {"address": "127.0.0.1:4001", "region": "r", "failure_domain": "f", "models": ["m"]}}}"#;

async fn run(line: &str) -> Outcome {
    let args = global_options_first(line.split_whitespace().map(str::to_owned).collect());
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = Arguments::from_args(&["turmerichollowctl"], &args).expect("parse");
    arguments.execute().await.unwrap_or_else(Outcome::from)
}

async fn serve(platform: &Platform) -> PlatformServer {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    PlatformServer::start(any_port, platform.clone())
        .await
        .expect("bind")
}

async fn write_load_record(platform: &Platform) {
    let record = r#"{"fencing": 4, "slots": [{"server": "b", "incarnation": 1, "model": "m",
        "weights_version": 1, "holder": "r1/1", "fencing": 4, "until": 5000000, "checks_fencing": true}]}"#;
    platform
        .compare_and_swap("orders/loads", 0, record.into(), None)
        .await
        .expect("write the record");
}

#[tokio::test]
async fn a_change_is_checked_applied_shown_and_rolled_back_over_http() {
    let platform = Platform::new();
    let server = serve(&platform).await;
    list_router(&platform, "r1").await;
    publish_status(&platform, "r1", 3).await;
    write_load_record(&platform).await;
    let ann = Operator::new("ann").with("10-all.json", FILE);
    let dir = ann.dir.path().display();
    let on = format!("--platform {}", server.address());

    let check = run(&format!("check {dir}")).await;
    let diff = run(&format!("diff {dir} {on}")).await;
    let apply = run(&format!("{on} apply {dir} --author ann --json")).await;
    ann.write("20-limits.json", r#"{"limits": {"cell_size": 4}}"#);
    let change = run(&format!("apply {dir} {on} --author ann")).await;
    let back = run(&format!("rollback 1 {on} --author ann")).await;
    let history = run(&format!("history {on}")).await;
    let status = run(&format!("status {on}")).await;
    server.stop().await;

    assert_eq!(check.text, "no faults in 10-all.json");
    assert!(diff.text.contains("+ models.m:"), "{}", diff.text);
    assert_eq!(
        apply.text,
        "version 1: accepted\nput 10-all.json\nin force on 1 of 1 live routers"
    );
    assert_eq!(change.json["version"], 2);
    assert_eq!(back.json["removed"], serde_json::json!(["20-limits.json"]));
    assert_eq!(history.json["versions"][0]["version"], 3);
    assert!(
        status.text.contains("router r1 (version 3)"),
        "{}",
        status.text
    );
    assert!(status.text.ends_with(
        "lease on b for m weights 1: held by r1/1 under fencing number 4, until_ms=5000"
    ));
    assert!(status
        .text
        .contains("backend server b at 127.0.0.1:4001 in r, not on the membership list"));
}

#[tokio::test]
async fn invalid_arguments_exit_with_code_2_and_problems_with_code_1() {
    let ann = Operator::new("ann").with("10-all.json", r#"{"limits": 1}"#);
    let dir = ann.dir.path().display();

    let no_platform = run("status").await;
    let no_command = run("--json").await;
    let no_folder = run(&format!("check {dir}/none")).await;
    let invalid = run(&format!("check {dir}")).await;

    let codes = [&no_platform, &no_command, &no_folder, &invalid].map(|outcome| outcome.code);
    assert_eq!(
        codes,
        [
            ExitCode::Usage,
            ExitCode::Usage,
            ExitCode::Usage,
            ExitCode::Refused
        ]
    );
    assert_eq!(invalid.json["problems"][0]["field"], "limits");
    let bad_address = Arguments::from_args(&["ctl"], &["--platform", "host:1", "status"]);
    assert!(bad_address
        .expect_err("refuse")
        .output
        .contains("expected an IP address"));
}
