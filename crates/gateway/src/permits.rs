//! Permits for requests to backend servers that limit them, asked of the router that issues them.

use std::net::SocketAddr;

use relay::LimitUpdate;
use relay::Permit;
use relay::RateLimit;
use relay::ServerKey;
use relay::Urgency;

use crate::clock::now;
use crate::context::Context;
use crate::issuer_reply;
use crate::issuer_reply::IssuerReply;
use crate::issuer_reply::RESPONSE_TIMEOUT;
use crate::log_event::LogEvent;
use crate::peer_message::PeerMessage;
use crate::peer_message::PermitRequest;
use crate::pending_replies::reply_within;
use crate::server_event::PermitDecision;
use crate::server_event::ServerEvent;

/// Returns whether the request `id` may be sent to a backend server now: always if that names no
/// limit. Otherwise the server gets no request of this router until a permit may be due.
pub async fn may_send(cx: &Context, id: &str, key: ServerKey, urgency: Urgency) -> bool {
    let Some(request) = permit_request(cx, key, urgency) else {
        return true;
    };
    let asked_at = now();
    let issuer = cx.peers.permit_issuer(request.region, request.server);
    let permit = if issuer == cx.peers.own_hash {
        Some(issue(cx, &request))
    } else {
        ask(cx, issuer, request).await
    };
    let IssuerReply {
        outcome,
        retry_after_ms,
    } = permit.into();
    cx.metrics
        .servers
        .permits
        .with_label_values(&[outcome])
        .inc();
    let now = now();
    let mut view = cx.view.borrow_mut();
    if let Some(server) = view.fleet.get_mut(key) {
        if permit != Some(Permit::Granted) {
            server.permit_at = now.plus_millis(retry_after_ms);
        }
        let decision = PermitDecision {
            id,
            server: &server.registration.id,
            limit: server.limit(),
            limit_age_ms: u64::from(request.limit.age_ms),
            issuer,
            outcome,
            retry_after_ms,
            took_ms: now.millis_since(asked_at),
        };
        ServerEvent::Permit(decision).write();
    }
    permit == Some(Permit::Granted)
}

/// Answers another router that asks for a permit; one that takes this router for the issuer by
/// mistake gets none.
pub async fn answer(cx: &Context, from: SocketAddr, request: PermitRequest) {
    let issuer = cx.peers.permit_issuer(request.region, request.server);
    issuer_reply::reply(cx, from, request.id, issuer, || issue(cx, &request)).await;
}

fn permit_request(cx: &Context, key: ServerKey, urgency: Urgency) -> Option<PermitRequest> {
    let view = cx.view.borrow();
    let server = view.fleet.get(key)?;
    server.limit()?;
    Some(PermitRequest {
        id: 0,
        server: server.instance_hash,
        region: issuer_reply::region_hash(cx, server),
        limit: server.limit_update(now())?,
        urgency,
    })
}

/// Decides as the issuer. The later of what both routers know of the limit counts.
fn issue(cx: &Context, request: &PermitRequest) -> Permit {
    let now = now();
    let limit = known_limit(cx, request.server, request.limit);
    let Some(limit) = limit else {
        return Permit::Granted;
    };
    let issuer = &mut cx.view.borrow_mut().permit_issuer;
    issuer.ask(now, request.server, limit, request.urgency)
}

fn known_limit(cx: &Context, server: u64, update: LimitUpdate) -> Option<RateLimit> {
    let key = cx.view.borrow().fleet.by_instance_hash(server);
    let Some(key) = key else {
        return update.value;
    };
    cx.merge_limit(key, cx.pause_watch.arrival(now()), update);
    cx.view.borrow().fleet.get(key)?.limit()
}

/// Asks another router; none if it does not respond in time.
async fn ask(cx: &Context, issuer: u64, request: PermitRequest) -> Option<Permit> {
    let address = cx.peers.address(issuer)?;
    let (id, mut rx) = cx.pending_permits.begin();
    let message = PeerMessage::PermitRequest(PermitRequest { id, ..request });
    cx.send_to_peer(address, &message).await;
    reply_within(&mut rx, RESPONSE_TIMEOUT).await
}
