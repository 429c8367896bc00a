//! Tells other routers at which build the streams began that began here, and answers their questions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use relay::StreamId;
use relay::StreamKnowledge;
use relay::StreamOrigin;

use crate::clock::now;
use crate::context::Context;
use crate::peer_message::PeerMessage;
use crate::peer_message::StreamQuery;
use crate::peer_message::StreamReply;
use crate::stream_record_task;

/// Number of other routers that are notified of a stream, in several regions.
const NOTIFIED_ROUTERS: usize = 3;

/// Most streams in one message, so that it fits a datagram.
const MAX_STREAMS: usize = 2_000;

/// Records a stream that begins at a build, and notifies other routers unless its services are known
/// to have only one. Called before its first event is passed on.
pub fn begin(cx: &Context, origin: StreamOrigin, services: &[Arc<str>]) {
    let is_only_build = {
        let mut view = cx.view.borrow_mut();
        let now = now();
        view.stream_origins.begin(now, origin);
        view.builds(now, services) == [origin.build] && view.are_builds_known(now, services)
    };
    if !is_only_build {
        notify(cx, &[origin]);
    }
}

/// Notifies other routers of the streams that began here, as a service has got another build.
pub fn notify_all(cx: &Context) {
    let streams = cx.view.borrow().stream_origins.begun_here();
    notify(cx, &streams);
}

/// Returns what this router knows of a stream; of one that its caller doesn't name, only which
/// build the services have.
pub fn knowledge(cx: &Context, stream: Option<StreamId>, services: &[Arc<str>]) -> StreamKnowledge {
    let view = cx.view.borrow();
    let now = now();
    StreamKnowledge::new(
        stream.and_then(|stream| view.stream_origins.build(stream)),
        &view.builds(now, services),
        view.are_builds_known(now, services),
    )
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
    stream_record_task::add(cx, streams);
    let writers = stream_record_task::writers(cx);
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
