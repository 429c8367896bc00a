//! Traces of requests and timelines from router logs.

use ctl::LogFiles;
use ctl::RequestTrace;
use ctl::Timeline;

const LOGS: &str = r#"time=2026-01-01T00:00:02.500Z level=INFO router=r1 event=request id="ab" outcome=rejected status=503 server=none
time=2026-01-01T00:00:01.000Z level=INFO router=r1 event=server_draining server=e1 source=store
  12.3 r1 time=2026-01-01T00:00:02.000Z level=INFO router=r1 event=sent id="ab" server=e1 wait_ms=4
time=2026-01-01T00:00:01.500Z level=INFO router=r2 event=server_draining server=e1 source=peer
time=2026-01-01T00:00:02.100Z level=INFO router=r1 event=attempt_ended id="ab" server=e1 reason="turned \"away\" now"
time=2026-01-01T00:00:02.200Z level=INFO router=r1 event=request id="cd" outcome=served
time=2026-01-01T00:00:09.000Z level=INFO router=r1 event=server_removed server=e1 source=store
half a line without a
time=2026-01-01T00:00:02.300Z level=INFO router=r1 event=sent id="cut
"#;

fn logs() -> LogFiles {
    LogFiles::from_text(LOGS)
}

#[test]
fn the_lines_of_a_request_are_sorted_by_time() {
    let trace = RequestTrace::collect("ab", &logs());
    let events: Vec<&str> = trace
        .request
        .iter()
        .filter_map(|line| line.split("event=").nth(1)?.split(' ').next())
        .collect();
    assert_eq!(events, ["sent", "attempt_ended", "request"]);
}

#[test]
fn only_earlier_view_changes_of_its_own_router_and_servers_are_shown() {
    let trace = RequestTrace::collect("ab", &logs());
    assert_eq!(trace.beliefs.len(), 1);
    assert!(trace.beliefs[0].contains("router=r1 event=server_draining"));
}

#[test]
fn malformed_lines_are_counted_and_skipped() {
    assert_eq!(logs().unreadable, 2);
    assert_eq!(RequestTrace::collect("unknown", &logs()).request.len(), 0);
}

#[test]
fn the_timeline_shows_all_routers_but_no_requests() {
    let timeline = Timeline::collect(&logs());
    assert_eq!(timeline.lines.len(), 3);
    assert!(timeline.lines.iter().all(|line| !line.contains("id=")));
}
