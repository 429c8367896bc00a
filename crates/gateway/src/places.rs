//! Places in backend servers that must not reject many requests, asked of the router that grants
//! them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use policy::Time;
use relay::Permit;
use relay::PlaceEnd;
use relay::PlaceId;
use relay::PlaceRequest;
use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;
use crate::issuer_reply;
use crate::issuer_reply::IssuerReply;
use crate::issuer_reply::CANNOT_ISSUE;
use crate::issuer_reply::RESPONSE_TIMEOUT;
use crate::log_event::LogEvent;
use crate::peer_message::PeerMessage;
use crate::peer_message::PlaceAsked;
use crate::peer_message::PlaceReleased;
use crate::pending_replies::reply_within;
use crate::server_event::PlaceDecision;
use crate::server_event::ServerEvent;

/// Number of messages that give a place back, as datagrams get lost.
const RELEASES_SENT: usize = 2;

/// A place in a backend server. Dropping it gives it back.
pub struct HeldPlace {
    cx: Rc<Context>,
    issuer: u64,
    server: u64,
    id: PlaceId,
    end: Cell<PlaceEnd>,
}

impl HeldPlace {
    /// Records that the server rejected the request for want of room.
    pub fn record_rejected(&self) {
        self.end.set(PlaceEnd::Rejected);
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let released = PlaceReleased {
            server: self.server,
            id: self.id,
            end: self.end.get(),
        };
        if self.issuer == self.cx.peers.own_hash {
            release(&self.cx, released);
        } else if let Some(address) = self.cx.peers.address(self.issuer) {
            let message = PeerMessage::PlaceReleased(released);
            for _ in 0..RELEASES_SENT {
                self.cx.try_send_to_peer(address, &message);
            }
        }
    }
}

/// Outcome of asking for a place in a backend server.
pub enum Place {
    /// The server names no number of rejections, so that its requests need no place.
    NotNeeded,
    /// The request has this place.
    Held(HeldPlace),
    /// There is none. The server gets no request of this router until there may be one.
    Denied,
}

/// Asks for a place for the request `id`, which ends by `until`.
pub async fn take(cx: &Rc<Context>, id: &str, key: ServerKey, until: Time) -> Place {
    let Some(asked) = place_asked(cx, key, until) else {
        return Place::NotNeeded;
    };
    let asked_at = now();
    let issuer = cx.peers.permit_issuer(asked.region, asked.server);
    let (asked, permit) = if issuer == cx.peers.own_hash {
        let permit = grant(cx, &asked);
        (asked, Some(permit))
    } else {
        ask(cx, issuer, asked).await
    };
    let place = HeldPlace {
        cx: Rc::clone(cx),
        issuer,
        server: asked.server,
        id: asked.id,
        end: Cell::new(PlaceEnd::Taken),
    };
    let IssuerReply {
        outcome,
        retry_after_ms,
    } = permit.into();
    let counter = &cx.metrics.servers.places;
    counter.with_label_values(&[outcome]).inc();
    let now = now();
    if let Some(server) = cx.view.borrow_mut().fleet.get_mut(key) {
        if retry_after_ms > 0 {
            server.permit_at = now.plus_millis(retry_after_ms);
        }
        ServerEvent::Place(PlaceDecision {
            id,
            server: &server.registration.id,
            rejections_per_s: asked.brittleness.value.map(|b| b.rejections_per_s),
            issuer,
            outcome,
            retry_after_ms,
            took_ms: now.millis_since(asked_at),
        })
        .write();
    }
    match permit {
        Some(Permit::Granted) => Place::Held(place),
        _ => Place::Denied,
    }
}

/// Answers another router that asks for a place; one that takes this router for the issuer by
/// mistake gets none.
pub async fn answer(cx: &Context, from: SocketAddr, asked: PlaceAsked) {
    let issuer = cx.peers.permit_issuer(asked.region, asked.server);
    issuer_reply::reply(cx, from, asked.id.request, issuer, || grant(cx, &asked)).await;
}

/// Takes a place back that this router granted.
pub fn release(cx: &Context, released: PlaceReleased) {
    let issuer = &mut cx.view.borrow_mut().place_issuer;
    issuer.release(now(), released.server, released.id, released.end);
}

fn place_asked(cx: &Context, key: ServerKey, until: Time) -> Option<PlaceAsked> {
    let view = cx.view.borrow();
    let server = view.fleet.get(key)?;
    server.brittleness()?;
    let (request, _) = cx.pending_permits.begin();
    let left_ms = until.millis_since(now());
    Some(PlaceAsked {
        id: PlaceId {
            router: cx.peers.own_hash,
            request,
        },
        server: server.instance_hash,
        region: issuer_reply::region_hash(cx, server),
        slots: server.registration.slots,
        brittleness: server.brittleness_update(now())?,
        left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
    })
}

/// Decides as the issuer. The later of what both routers know of the server counts.
fn grant(cx: &Context, asked: &PlaceAsked) -> Permit {
    let now = now();
    let key = cx.view.borrow().fleet.by_instance_hash(asked.server);
    if let Some(key) = key {
        cx.merge_brittleness(key, cx.pause_watch.arrival(now), asked.brittleness);
    }
    let mut view = cx.view.borrow_mut();
    let view = &mut *view;
    if !view.permit_issuer.may_issue(now) {
        return CANNOT_ISSUE;
    }
    let server = key.and_then(|key| view.fleet.get(key));
    let brittleness = match server {
        Some(server) => server.brittleness(),
        None => asked.brittleness.value,
    };
    let Some(brittleness) = brittleness else {
        return Permit::Granted;
    };
    let request = PlaceRequest {
        id: asked.id,
        slots: asked.slots,
        brittleness,
        reported: server.map_or(0, |server| server.load(now).requests),
        until: now.plus_millis(u64::from(asked.left_ms)),
    };
    view.place_issuer.ask(now, asked.server, request)
}

/// Asks another router; the permit is none if that doesn't respond in time. Returns also what was
/// asked, with the number of the question.
async fn ask(cx: &Context, issuer: u64, asked: PlaceAsked) -> (PlaceAsked, Option<Permit>) {
    let (request, mut rx) = cx.pending_permits.begin();
    let id = PlaceId {
        request,
        ..asked.id
    };
    let asked = PlaceAsked { id, ..asked };
    let Some(address) = cx.peers.address(issuer) else {
        return (asked, None);
    };
    cx.send_to_peer(address, &PeerMessage::PlaceAsked(asked))
        .await;
    let permit = reply_within(&mut rx, RESPONSE_TIMEOUT).await;
    (asked, permit)
}
