//! Checks the text of log events for lost links and connections through routers.

use std::io;

use gateway::ReachEvent;
use insta::assert_snapshot;
use relay::ReachChange;

#[test]
fn lines_of_what_a_router_reaches() {
    let cut = ReachEvent::Changed(&ReachChange::Cut {
        domain: "a".into(),
        unreachable: 2,
    });
    assert_snapshot!(cut, @"event=domain_cut domain=a unreachable=2");
    let reached = ReachEvent::Changed(&ReachChange::Reached {
        domain: "a".into(),
        cut_ms: 9_100,
    });
    assert_snapshot!(reached, @"event=domain_reached domain=a cut_ms=9100");
    let probe = ReachEvent::Probe {
        server: "e1",
        reason: Some(io::ErrorKind::TimedOut.into()),
    };
    assert_snapshot!(probe, @r#"event=server_probe server=e1 outcome=failed reason="timed out""#);
    let asked = ReachEvent::Asked {
        server: 0x2a,
        router: "10.0.0.2:7060".parse().unwrap(),
        took_ms: 2,
        reason: None,
    };
    assert_snapshot!(asked, @"event=tunnel_asked server=000000000000002a peer=10.0.0.2:7060 took_ms=2 outcome=connected");
    let accepted = ReachEvent::Accepted {
        server: 0x2a,
        from: "10.0.0.3".parse().unwrap(),
        reason: Some("refused: cut off too".to_owned()),
    };
    assert_snapshot!(accepted, @r#"event=tunnel_accepted server=000000000000002a from=10.0.0.3 outcome=failed reason="refused: cut off too""#);
}
