//! Which log records a specification enables.

use flexi_logger::LogSpecification;
use log::Level;
use router::log_specification;

fn parse(text: &str) -> LogSpecification {
    log_specification(text).expect("parses")
}

#[test]
fn library_log_lines_are_off_by_default() {
    let specification = parse("debug");

    assert!(!specification.enabled(Level::Error, "ractor::actor"));
    assert!(!specification.enabled(Level::Error, "tarpc::server"));
    assert!(!specification.enabled(Level::Error, "tracing::span"));
    assert!(specification.enabled(Level::Debug, "router::front"));
    assert!(!specification.enabled(Level::Trace, "router::front"));
}

#[test]
fn log_lines_of_a_library_in_the_specification_are_written() {
    let specification = parse("info, tarpc::server=warn");

    assert!(specification.enabled(Level::Warn, "tarpc::server"));
    assert!(!specification.enabled(Level::Info, "tarpc::server"));
    assert!(!specification.enabled(Level::Error, "tracing::span"));
    assert!(specification.enabled(Level::Info, "router::front"));
}

#[test]
fn a_specification_that_does_not_parse_is_refused() {
    assert!(log_specification("router=loud").is_err());
}
