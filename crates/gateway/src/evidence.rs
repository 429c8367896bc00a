//! Updates the view of backend servers from the outcomes of attempts.

use http::response;
use http::StatusCode;
use relay::AttemptEnd;
use relay::AttemptProof;
use relay::Choice;
use relay::ServerKey;

use crate::clock::now;
use crate::codec::ResponseHead;
use crate::codec::RetryAfter;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::rejections;
use crate::sent_part::SentPart;
use crate::server_event::ServerEvent;

/// Time for which a backend server is avoided after it rejected a request, in milliseconds.
const AVOID_REJECTED_MS: u64 = 250;

/// Longest time for which a backend server may ask for no requests, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 600_000;

/// Time for which a backend server is avoided after it failed or was unreachable or
/// unresponsive, in milliseconds.
pub const AVOID_FAILED_MS: u64 = 700;

/// Records what the end of the request's latest attempt proves.
pub fn record_end(x: &Exchange, end: AttemptEnd) {
    let Some(server) = &x.latest_server else {
        return;
    };
    match end.proof() {
        AttemptProof::Crashed => {
            x.cx.add_strikes(&x.suspects, server.instance_hash);
            x.cx.settle_ended(server.instance_hash);
        }
        AttemptProof::RanToEnd => x.cx.clear_suspects(&x.suspects),
        AttemptProof::CrashedIfEnded => {
            let unsettled = &mut x.cx.view.borrow_mut().unsettled;
            unsettled.add(now(), server.instance_hash, &x.suspects);
        }
        AttemptProof::Nothing => {}
    }
}

/// Records that the backend server of the latest attempt has responded.
pub fn record_alive(x: &Exchange) {
    if let Some(server) = &x.latest_server {
        x.cx.settle_alive(server.instance_hash, server.sent_at);
    }
}

/// Records and announces that an engine is sent the prompt's shared prefix.
pub fn record_part(x: &Exchange, choice: &Choice) {
    if let Some(part) = choice.shared_prefix {
        let mut view = x.cx.view.borrow_mut();
        let residency = &mut view.residency;
        residency.record(now(), part, choice.server, choice.transfer);
        x.cx.peers.announce_part(SentPart {
            part,
            server: choice.server,
            transfer: choice.transfer,
        });
    }
}

/// Removes what [`record_part`] recorded, as the engine may not have prefilled the prompt.
/// The announcement to other routers is not withdrawn.
pub fn forget_part(x: &Exchange, choice: &Choice) {
    if let Some(part) = choice.shared_prefix {
        let mut view = x.cx.view.borrow_mut();
        view.residency.remove(part, choice.server);
    }
}

/// Counts a failure of a backend server, and avoids it for `ms` milliseconds.
pub fn avoid(x: &Exchange, key: ServerKey, ms: u64) {
    let mut view = x.cx.view.borrow_mut();
    if let Some(server) = view.fleet.get_mut(key) {
        let until = now().plus_millis(ms);
        server.avoid_until = server.avoid_until.max(until);
        server.failures += 1;
        server.record_failure(now());
    }
}

/// Avoids a backend server that rejected a request, unless it names new weights, which
/// are recorded. Returns the reason for the log.
pub fn handle_rejection(
    x: &Exchange,
    choice: &Choice,
    head: &response::Parts,
    parsed: &ResponseHead,
    misdirected: bool,
) -> &'static str {
    forget_part(x, choice);
    let backs_off = x.cx.limits_room();
    let mut view = x.cx.view.borrow_mut();
    let model = x.parsed.prompt.as_ref().map(|prompt| prompt.model.as_str());
    if misdirected {
        drop(view);
        x.cx.mark_ended(choice.server);
        return "address belongs to another server";
    }
    let Some(server) = view.fleet.get_mut(choice.server) else {
        return "server is no longer registered";
    };
    if let (Some(place), true) = (&x.place, head.status == StatusCode::SERVICE_UNAVAILABLE) {
        place.record_rejected();
    }
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected && backs_off {
        drop(view);
        rejections::record(x, choice.server);
        return "rejected by the server";
    }
    let until = now().plus_millis(AVOID_REJECTED_MS);
    server.avoid_until = server.avoid_until.max(until);
    if !is_misdirected {
        return "rejected by the server";
    }
    drop(view);
    if let (Some(model), Some(version)) = (model, parsed.weights) {
        if x.cx.record_weights(choice.server, model, version) {
            stop_avoiding(x, choice.server);
        }
    }
    "weights version differs"
}

/// Lets a backend server get requests again at once.
fn stop_avoiding(x: &Exchange, key: ServerKey) {
    if let Some(server) = x.cx.view.borrow_mut().fleet.get_mut(key) {
        server.avoid_until = now();
    }
}

/// Records for how long a backend server that rejected a request with status 503 wants no other.
pub fn record_retry_after(
    x: &Exchange,
    key: ServerKey,
    head: &response::Parts,
    parsed: &ResponseHead,
) {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let asked_ms = match parsed.retry_after {
        None => return,
        Some(RetryAfter::Invalid) => {
            x.cx.metrics.servers.retry_after_invalid.inc();
            return;
        }
        Some(RetryAfter::Millis(ms)) => ms,
    };
    if asked_ms > MAX_RETRY_AFTER_MS {
        x.cx.metrics.servers.retry_after_invalid.inc();
    }
    let retry_after_ms = asked_ms.min(MAX_RETRY_AFTER_MS);
    let mut view = x.cx.view.borrow_mut();
    if let Some(server) = view.fleet.get_mut(key) {
        server.retry_at = server.retry_at.max(now().plus_millis(retry_after_ms));
        ServerEvent::RetryAfter {
            server: &server.registration.id,
            retry_after_ms,
            asked_ms,
        }
        .write();
    }
}

/// Records the limit on its requests that a backend server names in a response, or that it names
/// none.
pub fn record_limit(x: &Exchange, key: ServerKey, parsed: &ResponseHead) {
    let named = parsed.named_limit;
    if named.is_some_and(|named| named.is_doubtful) {
        x.cx.metrics.servers.server_limit_invalid.inc();
    }
    let limit = named.and_then(|named| named.limit);
    if let (Some(server), true) = (&x.latest_server, named.is_none() || limit.is_some()) {
        x.cx.record_limit(key, limit, server.sent_at);
    }
}

/// Records the rejections that a backend server stands by a response, or that it names none.
pub fn record_brittleness(x: &Exchange, key: ServerKey, parsed: &ResponseHead) {
    if let Some(server) = &x.latest_server {
        x.cx.record_brittleness(key, parsed.brittleness, server.sent_at);
    }
}

/// Returns whether another backend server, which uses the address by now, rejected the
/// request with status 421.
pub fn is_misdirected(
    x: &Exchange,
    key: ServerKey,
    head: &response::Parts,
    parsed: &ResponseHead,
) -> bool {
    let Some(responder) = &parsed.server else {
        return false;
    };
    let view = x.cx.view.borrow();
    let expected = view.fleet.get(key).map(|server| &*server.registration.id);
    head.status == StatusCode::MISDIRECTED_REQUEST && expected != Some(responder.as_str())
}

/// Records the weights that a response head names, and counts or resets the backend
/// server's failures by its status.
pub fn record_response(x: &Exchange, choice: &Choice, parsed: &ResponseHead, status: StatusCode) {
    if let (Some(prompt), Some(version)) = (&x.parsed.prompt, parsed.weights) {
        x.cx.record_weights(choice.server, &prompt.model, version);
    }
    if !status.is_server_error() {
        rejections::record_ran(x, choice.server);
    }
    let mut view = x.cx.view.borrow_mut();
    let Some(server) = view.fleet.get_mut(choice.server) else {
        return;
    };
    if status.is_server_error() {
        server.failures += 1;
    } else {
        server.failures = 0;
    }
}
