//! Finds out at which build a stream may go on that a caller takes up.

use std::sync::Arc;
use std::time::Duration;

use relay::Build;
use relay::StreamId;
use relay::StreamKnowledge;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::clock::now;
use crate::context::Context;
use crate::peer_message::PeerMessage;
use crate::peer_message::StreamQuery;
use crate::stream_builds::knowledge;
use crate::stream_record_task;
use crate::stream_record_task::StoredOrigin;

/// Number of other routers that are asked. Those that were notified come first among them, or close
/// behind if their sender knew other routers.
const ASKED_ROUTERS: usize = 8;

/// Time in which other routers must reply, several times that of a message to another region and
/// back.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// At which build a stream may go on, and how that is known.
pub struct FoundBuild {
    /// The build; none if it is unknown.
    pub build: Option<Build>,
    /// How it is known, for log and metrics.
    pub source: &'static str,
    /// What the store says of it.
    pub stored: &'static str,
    /// Number of other routers that answered.
    pub answers: usize,
}

impl FoundBuild {
    /// Returns what routers know without the store.
    fn from_router(build: Build, source: &'static str, answers: usize) -> FoundBuild {
        FoundBuild {
            build: Some(build),
            source,
            stored: "unasked",
            answers,
        }
    }
}

/// Finds out at which build a stream may go on. A stream that no router has recorded began while its
/// service had one build. Whether this router is in step, so that the only one that it knows is that
/// one, is proven by the answers of all other routers, or by the store.
pub async fn find_build(
    cx: &Context,
    stream: Option<StreamId>,
    services: &[Arc<str>],
) -> FoundBuild {
    let asked_at = now();
    let own = knowledge(cx, stream, services);
    if let Some(build) = own.recorded {
        return FoundBuild::from_router(build, "own", 0);
    }
    let replies = match stream {
        Some(stream) => ask(cx, stream, services.to_vec()).await,
        None => Replies::default(),
    };
    let answers = replies.knowledge.len();
    let mut recorded = replies.knowledge.iter().filter_map(|reply| reply.recorded);
    if let Some(build) = recorded.next() {
        return FoundBuild::from_router(build, "peer", answers);
    }
    let only = {
        let builds = cx.view.borrow().builds(now(), services);
        own.build(&replies.knowledge, &builds)
    };
    if let (Some(build), true) = (only, replies.are_complete()) {
        return FoundBuild::from_router(build, "only_build", answers);
    }
    // Records of streams are batched; those of builds must be as new as the question.
    let not_before = match only {
        Some(_) => asked_at,
        None => stream_record_task::oldest_reading(),
    };
    let stored = stream_record_task::look_up(cx, stream, not_before).await;
    let (build, source) = match stored {
        StoredOrigin::Known(build) => (Some(build), "store"),
        StoredOrigin::Unknown => {
            let proven = cx.view.borrow().proven_build(now(), services);
            (proven, "only_build")
        }
        StoredOrigin::Unread => (only.filter(|_| replies.are_of_most()), "only_build"),
    };
    FoundBuild {
        build,
        source: build.map_or("unknown", |_| source),
        stored: stored.name(),
        answers,
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
