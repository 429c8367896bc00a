//! Keeps each stream at the build that began it, whichever router it is taken up at.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::Time;
use relay::Build;
use relay::Fleet;
use relay::ServerKey;
use relay::StreamBuild;
use relay::StreamId;
use relay::StreamOrigin;
use relay::TakenUp;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::clock::now;
use crate::context::Context;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::peer_message::PeerMessage;
use crate::peer_message::StreamQuery;
use crate::peer_message::StreamReply;
use crate::request_event::RequestEvent;

/// Number of other routers that are notified of a stream, in several regions.
const NOTIFIED_ROUTERS: usize = 3;

/// Number of other routers that are asked. Those that were notified come first among them, or close
/// behind if their sender knew other routers.
const ASKED_ROUTERS: usize = 8;

/// Time in which other routers must reply, several times that of a message to another region and
/// back.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Most streams in one message, so that it fits a datagram.
const MAX_STREAMS: usize = 2_000;

/// Time that a stream can last, in milliseconds.
const MAX_STREAM_MS: u64 = 30_000;

/// Binds a stream to the build of the server that brings its first event, unless it is bound, and
/// notifies other routers while the route leads to several builds. Called before that event is passed on.
pub fn bind(x: &Exchange, key: ServerKey) {
    if x.stream_build.get() != StreamBuild::Any {
        return;
    }
    let (now, cx) = (now(), &x.cx);
    let mut view = cx.view.borrow_mut();
    let Some(server) = view.fleet.get(key) else {
        return;
    };
    let origin = StreamOrigin {
        stream: StreamId::new(&x.parsed.id),
        build: server.build,
    };
    let is_notified = builds(&view.fleet, x, now).len() > 1;
    view.stream_origins.begin(now, origin);
    drop(view);
    x.stream_build.set(StreamBuild::Only(origin.build));
    if is_notified {
        notify(cx, &[origin]);
    }
}

/// Notifies other routers of the streams that began here, as a service has got another build.
pub fn notify_all(cx: &Context) {
    let streams = cx.view.borrow().stream_origins.begun_here();
    notify(cx, &streams);
}

/// Finds out at which build a stream may go on that the caller takes up, and picks a service of the
/// route that has it. Returns whether it is known; always true for a stream that begins.
pub async fn resolve(x: &mut Exchange) -> bool {
    if x.parsed.last_event.is_none() && x.parsed.resumes.is_none() {
        return true;
    }
    let asked_at = now();
    let stream = x.parsed.resumes.as_deref().map(StreamId::new);
    let own = stream.and_then(|stream| x.cx.view.borrow().stream_origins.build(stream));
    let (known, answers) = match (own, stream) {
        (None, Some(stream)) => ask(&x.cx, stream).await,
        _ => (own, 0),
    };
    let taken_up = TakenUp {
        known,
        answers,
        is_history_known: x.cx.is_history_known(MAX_STREAM_MS),
        builds: builds(&x.cx.view.borrow().fleet, x, now()),
    };
    let build = taken_up.build();
    let source = match (own, known, build) {
        (Some(_), _, _) => "own",
        (None, Some(_), _) => "peer",
        (None, None, Some(_)) => "only_build",
        (None, None, None) => "unknown",
    };
    x.cx.metrics
        .servers
        .streams_taken_up
        .with_label_values(&[source])
        .inc();
    RequestEvent::TakenUp {
        id: &x.parsed.id,
        resumes: x.parsed.resumes.as_deref(),
        source,
        answers,
        builds: taken_up.builds.len(),
        took_ms: now().millis_since(asked_at),
    }
    .write();
    if let Some(build) = build {
        x.stream_build.set(StreamBuild::Only(build));
        pick_service_with(x, build);
    }
    build.is_some()
}

/// Returns the builds of all servers to which the request's route leads, or led lately.
fn builds(fleet: &Fleet, x: &Exchange, now: Time) -> Vec<Build> {
    let shares = x.route.shares.iter();
    let mut builds: Vec<Build> = shares
        .flat_map(|share| fleet.builds(now, &share.service))
        .collect();
    builds.sort_unstable();
    builds.dedup();
    builds
}

/// Keeps the service of a request if it has servers of a build, otherwise picks another one of the
/// route that has.
fn pick_service_with(x: &mut Exchange, build: Build) {
    let service = {
        let view = x.cx.view.borrow();
        let has_build = |service: &str| {
            view.fleet
                .of_service(service)
                .any(|(_, s)| s.build == build)
        };
        if has_build(&x.service) {
            return;
        }
        let mut shares = x.route.shares.iter();
        let share = shares.find(|share| has_build(&share.service));
        share.map(|share| Arc::clone(&share.service))
    };
    if let Some(service) = service {
        x.service = service;
    }
}

/// Answers another router that asks for the build of a stream.
pub async fn answer(cx: &Context, from: SocketAddr, query: StreamQuery) {
    let build = cx.view.borrow().stream_origins.build(query.stream);
    let reply = StreamReply {
        id: query.id,
        build,
    };
    cx.send_to_peer(from, &PeerMessage::StreamReply(reply))
        .await;
}

/// Notifies other routers of streams, each of those for which it is chosen.
fn notify(cx: &Context, streams: &[StreamOrigin]) {
    let mut by_router = BTreeMap::<u64, Vec<StreamOrigin>>::new();
    for origin in streams {
        for router in cx.peers.keepers(origin.stream.hash(), NOTIFIED_ROUTERS) {
            by_router.entry(router).or_default().push(*origin);
        }
    }
    for (router, streams) in by_router {
        let Some(address) = cx.peers.address(router) else {
            continue;
        };
        for streams in streams.chunks(MAX_STREAMS) {
            cx.try_send_to_peer(address, &PeerMessage::StreamOrigins(streams.to_vec()));
        }
    }
}

/// Asks other routers for the build of a stream. Returns it if one knows it, and how many answered.
async fn ask(cx: &Context, stream: StreamId) -> (Option<Build>, usize) {
    let deadline = Instant::now() + REPLY_TIMEOUT;
    let (id, mut rx) = cx.pending_builds.begin();
    let query = PeerMessage::StreamQuery(StreamQuery { id, stream });
    let asked = cx.peers.registered_keepers(stream.hash(), ASKED_ROUTERS);
    let addresses = cx.peers.addresses(&asked);
    for address in &addresses {
        cx.send_to_peer(*address, &query).await;
    }
    let mut answers = 0;
    while answers < addresses.len() {
        let Ok(Some(build)) = timeout_at(deadline, rx.recv()).await else {
            break;
        };
        answers += 1;
        if build.is_some() {
            return (build, answers);
        }
    }
    (None, answers)
}
