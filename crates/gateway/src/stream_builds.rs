//! Keeps each stream at the build that began it, whichever router it is taken up at.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use relay::Build;
use relay::StreamBuild;
use relay::StreamId;
use relay::StreamKnowledge;
use relay::StreamOrigin;
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
use crate::request_event::TakenUp;
use crate::stream_records;
use crate::stream_records::StoredOrigin;

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

/// Binds a stream to the build of the server that brings its first event, unless it is bound, and
/// notifies other routers unless the route is known to lead to only one build. Called before that
/// event is passed on.
pub fn bind(x: &Exchange) {
    if x.stream_build.get().is_bound() {
        return;
    }
    let stream_build = latest_build(x);
    x.stream_build.set(stream_build);
    let StreamBuild::Only(build) = stream_build else {
        return;
    };
    let (now, cx) = (now(), &x.cx);
    let mut view = cx.view.borrow_mut();
    let origin = StreamOrigin {
        stream: StreamId::new(&x.parsed.id),
        build,
    };
    let services = services(x);
    let is_only_build = view.builds(now, &services) == [build];
    let is_notified = !(is_only_build && view.are_builds_known(now, &services));
    view.stream_origins.begin(now, origin);
    drop(view);
    if is_notified {
        notify(cx, &[origin]);
    }
}

/// Binds a stream that broke off to no build, if it isn't certain which one wrote its last events.
pub fn check_end(x: &Exchange) {
    if x.stream_build.get().is_bound() && latest_build(x) == StreamBuild::Unknown {
        x.stream_build.set(StreamBuild::Unknown);
    }
}

/// Returns the build of the latest attempt's server. It is that at which the request was sent, also
/// if the server's registration has ended since.
fn latest_build(x: &Exchange) -> StreamBuild {
    let view = x.cx.view.borrow();
    let server = x.latest_server.as_ref();
    server.map_or(StreamBuild::Unknown, |server| {
        server.stream_build(&view.fleet)
    })
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
    let services = services(x);
    let origin = find_origin(&x.cx, stream, &services).await;
    let builds = x.cx.view.borrow().builds(now(), &services);
    let taken_up = TakenUp {
        id: &x.parsed.id,
        resumes: x.parsed.resumes.as_deref(),
        source: origin.source,
        stored: origin.stored,
        answers: origin.answers,
        builds: builds.len(),
        took_ms: now().millis_since(asked_at),
    };
    let counter = &x.cx.metrics.servers.streams_taken_up;
    counter.with_label_values(&[taken_up.source]).inc();
    RequestEvent::TakenUp(taken_up).write();
    if let Some(build) = origin.build {
        x.stream_build.set(StreamBuild::Only(build));
        pick_service_with(x, build);
    }
    origin.build.is_some()
}

/// At which build a stream may go on, and how that is known.
struct Origin {
    build: Option<Build>,
    /// How it is known, for log and metrics.
    source: &'static str,
    /// What the store says of it.
    stored: &'static str,
    /// Number of other routers that answered.
    answers: usize,
}

/// Finds out at which build a stream may go on. A stream that no router has recorded began while its
/// service had one build. Whether this router is in step, so that the only one that it knows is that
/// one, is proven by the answers of all other routers, or by the store.
async fn find_origin(cx: &Context, stream: Option<StreamId>, services: &[Arc<str>]) -> Origin {
    let asked_at = now();
    let own = knowledge(cx, stream, services);
    if let Some(build) = own.recorded {
        return Origin::from_router(build, "own", 0);
    }
    let replies = match stream {
        Some(stream) => ask(cx, stream, services.to_vec()).await,
        None => Replies::default(),
    };
    let answers = replies.knowledge.len();
    let mut recorded = replies.knowledge.iter().filter_map(|reply| reply.recorded);
    if let Some(build) = recorded.next() {
        return Origin::from_router(build, "peer", answers);
    }
    let only = {
        let builds = cx.view.borrow().builds(now(), services);
        own.build(&replies.knowledge, &builds)
    };
    if let (Some(build), true) = (only, replies.are_complete()) {
        return Origin::from_router(build, "only_build", answers);
    }
    // Records of streams are batched; those of builds must be as new as the question.
    let not_before = match only {
        Some(_) => asked_at,
        None => stream_records::oldest_reading(),
    };
    let stored = stream_records::look_up(cx, stream, not_before).await;
    let (build, source) = match stored {
        StoredOrigin::Known(build) => (Some(build), "store"),
        StoredOrigin::Unknown => (proven_build(cx, services), "only_build"),
        StoredOrigin::Unread => (only.filter(|_| replies.are_of_most()), "only_build"),
    };
    Origin {
        build,
        source: build.map_or("unknown", |_| source),
        stored: stored.name(),
        answers,
    }
}

impl Origin {
    /// Returns what routers know without the store.
    fn from_router(build: Build, source: &'static str, answers: usize) -> Origin {
        Origin {
            build: Some(build),
            source,
            stored: "unasked",
            answers,
        }
    }
}

/// Returns the only build that some services have had, if the store's records of builds, which were
/// just read, prove it.
fn proven_build(cx: &Context, services: &[Arc<str>]) -> Option<Build> {
    cx.view.borrow().proven_build(now(), services)
}

/// Returns the names of the services to which the request's route leads.
fn services(x: &Exchange) -> Vec<Arc<str>> {
    let shares = x.route.shares.iter();
    shares.map(|share| Arc::clone(&share.service)).collect()
}

/// Returns what this router knows of a stream; of one that its caller doesn't name, only which
/// build the services have.
fn knowledge(cx: &Context, stream: Option<StreamId>, services: &[Arc<str>]) -> StreamKnowledge {
    let view = cx.view.borrow();
    let now = now();
    StreamKnowledge::new(
        stream.and_then(|stream| view.stream_origins.build(stream)),
        &view.builds(now, services),
        view.are_builds_known(now, services),
    )
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
    let reply = StreamReply {
        id: query.id,
        knowledge: knowledge(cx, Some(query.stream), &query.services),
    };
    cx.send_to_peer(from, &PeerMessage::StreamReply(reply))
        .await;
}

/// Notifies other routers of streams, each of those for which it is chosen, and the routers that
/// write them to the store.
fn notify(cx: &Context, streams: &[StreamOrigin]) {
    stream_records::add(cx, streams);
    let writers = stream_records::writers(cx);
    let mut by_router = BTreeMap::<u64, Vec<StreamOrigin>>::new();
    for origin in streams {
        let mut notified = cx.peers.keepers(origin.stream.hash(), NOTIFIED_ROUTERS);
        notified.extend(&writers);
        notified.sort_unstable();
        notified.dedup();
        for router in notified {
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

/// What other routers replied to a question about a stream.
#[derive(Default)]
struct Replies {
    knowledge: Vec<StreamKnowledge>,
    /// Number of routers that were asked; none if this router doesn't know which there are.
    asked: Option<usize>,
}

impl Replies {
    /// Returns whether all routers have replied.
    fn are_complete(&self) -> bool {
        self.asked == Some(self.knowledge.len())
    }

    /// Returns whether more than half of the routers have replied.
    fn are_of_most(&self) -> bool {
        let asked = self.asked;
        asked.is_some_and(|asked| self.knowledge.len() * 2 > asked)
    }
}

/// Asks other routers what they know of a stream, until one has recorded it.
async fn ask(cx: &Context, stream: StreamId, services: Vec<Arc<str>>) -> Replies {
    let deadline = Instant::now() + REPLY_TIMEOUT;
    let (id, mut rx) = cx.pending_streams.begin();
    let query = PeerMessage::StreamQuery(StreamQuery {
        id,
        stream,
        services,
    });
    let asked = cx.peers.registered_keepers(stream.hash(), ASKED_ROUTERS);
    let addresses = cx.peers.addresses(&asked);
    for address in &addresses {
        cx.send_to_peer(*address, &query).await;
    }
    let mut replies = Replies {
        knowledge: Vec::new(),
        asked: cx.view.borrow().routers_known.then_some(asked.len()),
    };
    while replies.knowledge.len() < addresses.len() {
        let Ok(Some(knowledge)) = timeout_at(deadline, rx.recv()).await else {
            break;
        };
        replies.knowledge.push(knowledge);
        if knowledge.recorded.is_some() {
            break;
        }
    }
    replies
}
