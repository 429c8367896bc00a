//! Checks the text of each log event, which on-call engineers and `ctl trace` read.

use std::collections::BTreeMap;

use gateway::AttemptEnded;
use gateway::AttemptSent;
use gateway::FleetSummary;
use gateway::LogEvent;
use gateway::OrderEvent;
use gateway::OrderGiven;
use gateway::PermitDecision;
use gateway::PlaceDecision;
use gateway::ProcessEvent;
use gateway::RejectionsKnown;
use gateway::RequestEnded;
use gateway::RequestEvent;
use gateway::ServerEndEvent;
use gateway::ServerEvent;
use gateway::Step;
use gateway::StopPhase;
use gateway::SuspectEvent;
use gateway::TakenUp;
use gateway::ViewEvent;
use insta::assert_snapshot;
use log::Level;
use relay::AttemptEnd;
use relay::OrderResponse;
use relay::PartKey;
use relay::RateLimit;
use relay::Registration;
use relay::Revision;
use relay::ServerState;
use relay::SuspectKey;
use relay::Unplaceable;
use relay::Verdict;

fn sent() -> AttemptSent<'static> {
    AttemptSent {
        id: "q1",
        resumes: None,
        server: "e1",
        build: "v1.1",
        cost_ms: 617.4,
        wait_ms: 359.0,
        prefill_ms: 232.0,
        pace: 1.5,
        requests: 20,
        load_age_ms: 140,
        weights: Some(3),
        part: Some(PartKey(0xab)),
        caches_prefix: false,
        fetch: "store",
        saves: true,
        entry_age_ms: 701,
        left_ms: 5_971,
    }
}

fn ended(outcome: &'static str) -> RequestEnded<'static> {
    RequestEnded {
        id: "q1",
        route: "r-1",
        workspace: Some("w1"),
        service: "engines",
        configuration: 7,
        outcome,
        status: 503,
        server: None,
        attempts: 1,
        executions: 0,
        took_ms: 600,
        left_ms: 5_371,
    }
}

fn registration() -> Registration {
    Registration {
        id: "e1".into(),
        started_ms: 1,
        service: "engines".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 24,
        build: "v1.1".into(),
        state: ServerState::Ready,
        weights: BTreeMap::from([("m0".into(), 3)]),
    }
}

#[test]
fn lines_of_a_request() {
    assert_snapshot!(RequestEvent::AttemptSent(sent()), @r#"event=sent id="q1" resumes="none" server=e1 build="v1.1" cost_ms=617 wait_ms=359 reading_ms=232 pace=1.50 requests=20 load_age_ms=140 weights=3 part=00000000000000ab held=false fetch=store save=true entry_age_ms=701 left_ms=5971"#);
    let attempt = AttemptEnded {
        id: "q1",
        service: "engines",
        server: "e1",
        fingerprint: SuspectKey::Request(0x2f),
        end: AttemptEnd::Unsent,
        reason: "connect to 10.0.0.1:80: timeout",
        verdict: Verdict::Again,
        attempts: 1,
        executions: 0,
        left_ms: 5_371,
        budget_left: 12,
    };
    assert_snapshot!(RequestEvent::AttemptEnded(attempt), @r#"event=attempt_ended id="q1" request=000000000000002f service=engines server=e1 end=Unsent reason="connect to 10.0.0.1:80: timeout" verdict=Again sends=1 runs=0 left_ms=5371 budget_left=12"#);
    let unplaced = RequestEvent::Unplaced {
        id: "q1",
        service: "engines",
        cause: Unplaceable::TooLate {
            retry_after_ms: 200,
            wait_ms: 1_500,
            reading_ms: 310,
        },
        fleet: FleetSummary {
            servers: 12,
            ready: 9,
            avoided: 2,
            retry_later: 0,
            limited: 2,
            switching: 1,
            store_age_ms: 80,
        },
    };
    assert_snapshot!(unplaced, @r#"event=unplaced id="q1" service=engines reason=too_late cause=TooLate { retry_after_ms: 200, wait_ms: 1500, reading_ms: 310 } servers=12 ready=9 avoided=2 retry_later=0 limited=2 switching=1 store_age_ms=80"#);
    assert_snapshot!(RequestEvent::Ended(ended("too_late")), @r#"event=request id="q1" route=r-1 workspace=w1 service=engines configuration=7 outcome=too_late status=503 server=none sends=1 runs=0 took_ms=600 left_ms=5371"#);
    let resume = RequestEvent::ResumeFailed {
        id: "q1",
        reason: "no_server",
    };
    assert_snapshot!(resume, @r#"event=resume_failed id="q1" reason=no_server"#);
}

#[test]
fn lines_of_a_refused_request() {
    let taken_up = RequestEvent::TakenUp(TakenUp {
        id: "q2",
        resumes: Some("q1"),
        source: "peer",
        stored: "unasked",
        answers: 2,
        builds: 2,
        took_ms: 3,
    });
    assert_snapshot!(taken_up, @r#"event=taken_up id="q2" resumes="q1" source=peer stored=unasked answers=2 builds=2 took_ms=3"#);
    let unnamed = RequestEvent::Refused {
        id: None,
        configuration: None,
        status: 400,
        reason: "no id",
    };
    assert_snapshot!(unnamed, @r#"event=refused id="none" status=400 reason="no id""#);
    let unknown = RequestEvent::Refused {
        id: Some("q1"),
        configuration: Some(7),
        status: 404,
        reason: "no_route",
    };
    assert_snapshot!(unknown, @r#"event=refused id="q1" configuration=7 status=404 reason="no_route""#);
    let broken = RequestEvent::RequestBrokeOff {
        id: "q1",
        reason: "connection reset",
    };
    assert_snapshot!(broken, @r#"event=request_broke_off id="q1" reason="connection reset""#);
}

#[test]
fn lines_of_the_configuration_and_the_weights() {
    let configuration = ViewEvent::Configuration {
        version: 8,
        before: 7,
        routes: 16,
        workspaces: 8,
        source: "store",
        behind_ms: 0,
    };
    assert_snapshot!(configuration, @"event=configuration version=8 before=7 routes=16 workspaces=8 source=store behind_ms=0");
    let asked = ViewEvent::ConfigurationAsked {
        peer: "10.1.0.30:7340".parse().unwrap(),
        newest: 9,
        behind_ms: 310,
    };
    assert_snapshot!(asked, @"event=configuration_asked peer=10.1.0.30:7340 newest=9 behind_ms=310");
    let named = ViewEvent::WeightsAnnounced {
        model: "m0",
        version: 4,
        age_ms: 120,
        oldest_age_ms: Some(900),
        source: "peer",
    };
    assert_snapshot!(named, @r#"event=weights_named model="m0" version=4 age_ms=120 oldest_age_ms=900 source=peer"#);
    let taken = ServerEvent::WeightsLoaded {
        server: "e1",
        model: "m0",
        version: 4,
    };
    assert_snapshot!(taken, @r#"event=weights_taken server=e1 model="m0" version=4"#);
}

#[test]
fn lines_of_the_fleet() {
    let registration = registration();
    let added = ServerEvent::Added {
        registration: &registration,
        source: "store",
    };
    assert_snapshot!(added, @r#"event=server_added server=e1 service=engines domain=a address=10.0.0.1:80 state=Ready build="v1.1" weights=[3] source=store"#);
    let (server, source) = ("e1", "peer");
    assert_snapshot!(ServerEvent::Draining { server, source }, @"event=server_draining server=e1 source=peer");
    let missing = ServerEvent::Missing {
        server,
        outage_age_ms: 250,
        source,
    };
    assert_snapshot!(missing, @"event=server_missing server=e1 outage_age_ms=250 source=peer");
    assert_snapshot!(ServerEvent::Removed { server, source }, @"event=server_removed server=e1 source=peer");
    let retry_after = ServerEvent::RetryAfter {
        server,
        retry_after_ms: 600_000,
        asked_ms: 900_000,
    };
    assert_snapshot!(retry_after, @"event=server_retry_after server=e1 retry_after_ms=600000 asked_ms=900000");
    let limit = ServerEvent::Limit {
        server,
        before: None,
        limit: RateLimit::per_second(3.3),
        source: "response",
    };
    assert_snapshot!(limit, @"event=server_limit server=e1 per_s=3.3 before=none source=response");
    let brittle = ServerEvent::Brittle {
        server,
        rejections_per_s: Some(4),
        source: "peer",
    };
    assert_snapshot!(brittle, @"event=server_brittle server=e1 rejections_per_s=4 source=peer");
    let place = ServerEvent::Place(PlaceDecision {
        id: "q1",
        server,
        rejections_per_s: Some(4),
        issuer: 0x1f,
        outcome: "denied",
        retry_after_ms: 30,
        took_ms: 2,
    });
    assert_snapshot!(place, @r#"event=place id="q1" server=e1 rejections_per_s=4 issuer=000000000000001f outcome=denied retry_after_ms=30 took_ms=2"#);
    let permit = ServerEvent::Permit(PermitDecision {
        id: "q1",
        server,
        limit: RateLimit::per_second(3.3),
        limit_age_ms: 1_200,
        issuer: 0x1f,
        outcome: "denied",
        retry_after_ms: 240,
        took_ms: 16,
    });
    assert_snapshot!(permit, @r#"event=permit id="q1" server=e1 per_s=3.3 limit_age_ms=1200 issuer=000000000000001f outcome=denied retry_after_ms=240 took_ms=16"#);
    let address = registration.address;
    assert_snapshot!(ServerEndEvent::Ended { server, address }, @"event=server_ended server=e1 address=10.0.0.1:80");
    let replaced = ServerEndEvent::Replaced {
        server,
        by: "e2",
        address,
    };
    assert_snapshot!(replaced, @"event=server_replaced server=e1 by=e2 address=10.0.0.1:80");
    let source = "store";
    assert_snapshot!(ServerEndEvent::Renewed { server, source }, @"event=server_renewed server=e1 source=store");
}

#[test]
fn lines_of_requests_that_crash_servers() {
    let suspect = SuspectKey::Request(0x1f);
    let strike = SuspectEvent::Strike {
        suspect,
        server: 0x2f,
        strikes: 2,
    };
    assert_snapshot!(strike, @"event=strike request=000000000000001f server=000000000000002f strikes=2");
    let source = "peer";
    assert_snapshot!(SuspectEvent::Blocked { suspect, source }, @"event=blocked request=000000000000001f source=peer");
    assert_snapshot!(SuspectEvent::Trial { suspect }, @"event=trial request=000000000000001f");
    assert_snapshot!(SuspectEvent::Cleared { suspect, strikes: 2 }, @"event=cleared request=000000000000001f strikes=2");
}

#[test]
fn lines_of_the_routers_and_their_orders() {
    let added = ViewEvent::RouterAdded {
        peer: "r2",
        address: "10.0.0.2:7060".parse().unwrap(),
    };
    assert_snapshot!(added, @r#"event=router_added peer="r2" address=10.0.0.2:7060"#);
    assert_snapshot!(ViewEvent::RouterRemoved { peer: "r2" }, @r#"event=router_removed peer="r2""#);
    let holder = OrderEvent::OrderHolder {
        holder: "r2",
        fence: 9,
    };
    assert_snapshot!(holder, @r#"event=order_holder holder="r2" fence=9"#);
    assert_snapshot!(OrderEvent::NoOrderHolder, @"event=order_holder holder=none");
    let began = OrderEvent::LeaseTermBegan {
        fence: 9,
        wait_ms: 200,
    };
    assert_snapshot!(began, @"event=tenure_began fence=9 orders_wait_ms=200");
    let over = OrderEvent::LeaseTermEnded {
        reason: "not renewed in time",
    };
    assert_snapshot!(over, @r#"event=tenure_ended reason="not renewed in time""#);
    let order = OrderGiven {
        server: "e1",
        model: "m0",
        version: 4,
        accepted_before: 2,
        fence: 9,
        reply: OrderResponse::Accepted,
    };
    assert_snapshot!(OrderEvent::Order(order), @r#"event=order server=e1 model="m0" version=4 accepted_before=2 fence=9 reply=Accepted"#);
}

#[test]
fn lines_of_a_process() {
    let start = ProcessEvent::Start {
        name: "r1",
        domain: "a",
        callers: "10.0.0.9:80".parse().unwrap(),
        store: "10.0.0.8:81".parse().unwrap(),
    };
    let start = start
        .to_string()
        .replace(env!("CARGO_PKG_VERSION"), "VERSION");
    assert_snapshot!(start, @"event=start version=VERSION name=r1 domain=a callers=10.0.0.9:80 store=10.0.0.8:81");
    let field = "colour";
    assert_snapshot!(ProcessEvent::SettingUnknown { field }, @r#"event=setting_unknown field="colour""#);
    let reloaded = ProcessEvent::Reloaded {
        cause: "signal",
        seeds_changed: true,
        needs_restart: false,
    };
    assert_snapshot!(reloaded, @"event=reload cause=signal outcome=adopted seeds_changed=true needs_restart=false");
    let rejected = ProcessEvent::ReloadRejected {
        cause: "file",
        reason: &"domain: expected a text",
    };
    assert_snapshot!(rejected, @r#"event=reload cause=file outcome=rejected reason="domain: expected a text""#);
    let stop = ProcessEvent::Stop {
        phase: StopPhase::Leaving,
        open: 3,
        took_ms: 2_900,
    };
    assert_snapshot!(stop, @"event=stop phase=leaving open=3 took_ms=2900");
}

#[test]
fn lines_of_dependencies_and_failures() {
    let lost = ProcessEvent::StoreLost {
        topic: "servers",
        reason: &"watch at 10.0.0.8:81: timeout",
    };
    assert_snapshot!(lost, @r#"event=store_lost topic=servers reason="watch at 10.0.0.8:81: timeout""#);
    let regained = ProcessEvent::StoreRegained {
        topic: "operators",
        away_ms: 7_061,
    };
    assert_snapshot!(regained, @"event=store_regained topic=operators away_ms=7061");
    let resumed = ProcessEvent::Resumed { paused_ms: 5_012 };
    assert_snapshot!(resumed, @"event=resumed paused_ms=5012");
    let gone = ProcessEvent::HistoryGone {
        topic: "routers",
        after: Revision { era: 0, number: 11 },
    };
    assert_snapshot!(gone, @"event=history_gone topic=routers after=11");
    let era = ProcessEvent::StoreEra {
        before: 1,
        era: 2,
        source: "peer",
    };
    assert_snapshot!(era, @"event=store_era before=1 era=2 source=peer");
    let rewritten = ProcessEvent::EntryRewritten { era: 2 };
    assert_snapshot!(rewritten, @"event=entry_rewritten era=2");
    let unreadable = ProcessEvent::EntryUnreadable {
        key: "servers/e1",
        reason: &"missing field",
    };
    assert_snapshot!(unreadable, @r#"event=entry_unreadable key="servers/e1" reason="missing field""#);
    let failed = ProcessEvent::Failed {
        step: Step::Order,
        peer: Some(&"10.0.0.1:80"),
        reason: &"timeout",
    };
    assert_snapshot!(failed, @r#"event=order_failed peer=10.0.0.1:80 reason="timeout""#);
}

#[test]
fn only_success_lines_may_be_dropped_first() {
    assert!(RequestEvent::AttemptSent(sent()).is_success());
    assert!(RequestEvent::Ended(ended("served")).is_success());
    assert!(!RequestEvent::Ended(ended("too_late")).is_success());
    assert!(!OrderEvent::NoOrderHolder.is_success());
}

#[test]
fn a_lost_store_is_a_warning_and_a_regained_one_is_not() {
    let lost = ProcessEvent::StoreLost {
        topic: "servers",
        reason: &"timeout",
    };
    let regained = ProcessEvent::StoreRegained {
        topic: "servers",
        away_ms: 1,
    };
    assert_eq!(lost.level(), Level::Warn);
    assert_eq!(regained.level(), Level::Info);
}

#[test]
fn rejections_in_a_row_name_what_was_known_of_the_load() {
    let known = RejectionsKnown {
        server: "e1",
        in_a_row: 2,
        retry_after_ms: 540,
        requests: 5,
        slots: 24,
        load_age_ms: 140,
        source: "peer",
    };
    assert_snapshot!(
        ServerEvent::Rejections(known).to_string(),
        @"event=server_rejections server=e1 in_a_row=2 retry_after_ms=540 requests=5 slots=24 load_age_ms=140 source=peer"
    );
}

#[test]
fn a_request_that_waited_names_the_time_and_the_outcome() {
    let waited = RequestEvent::Waited {
        id: "q1",
        service: "engines",
        outcome: "began",
        waited_ms: 180,
        queued: 4,
    };
    assert!(waited.is_success());
    assert_snapshot!(
        waited.to_string(),
        @r#"event=waited id="q1" service=engines outcome=began waited_ms=180 queued=4"#
    );
}
