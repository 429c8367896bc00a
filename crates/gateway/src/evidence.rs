//! What attempts tell of backend servers.

use http::response;
use http::StatusCode;
use relay::Choice;
use relay::ServerKey;
use relay::Strike;

use crate::clock::now;
use crate::codec::ResponseHead;
use crate::exchange::Exchange;
use crate::peers::SentPart;

/// Time for which a backend server is avoided that turned a request away, in milliseconds.
const AVOID_REJECTED_MS: u64 = 250;

/// Time for which a backend server is avoided that can't be reached or broke off, in milliseconds.
pub const AVOID_BROKEN_MS: u64 = 700;

/// Time for which an address is avoided that belongs to another lifetime, in milliseconds.
const AVOID_MISDIRECTED_MS: u64 = 5_000;

/// Notes that a request was running on a backend server which broke off.
pub fn strike(x: &Exchange, key: ServerKey) {
    let server = x.cx.belief.borrow().fleet.get(key).map(|s| s.instance_hash);
    if let (Some(request), Some(server)) = (x.fingerprint, server) {
        x.cx.strike(Strike { request, server });
    }
}

/// Notes that the large shared part of a prompt is sent to an engine.
pub fn note_part(x: &Exchange, choice: &Choice) {
    if let Some(part) = choice.shared_prefix {
        let mut belief = x.cx.belief.borrow_mut();
        let residency = &mut belief.residency;
        residency.record(now(), part, choice.server, choice.transfer);
        x.cx.peers.tell_part(SentPart {
            part,
            server: choice.server,
            transfer: choice.transfer,
        });
    }
}

/// Takes that back, as the engine did not read it.
pub fn forget_part(x: &Exchange, choice: &Choice) {
    if let Some(part) = choice.shared_prefix {
        let mut belief = x.cx.belief.borrow_mut();
        belief.residency.remove(part, choice.server);
    }
}

/// Avoids a backend server that failed, for `ms` milliseconds.
pub fn avoid(x: &Exchange, key: ServerKey, ms: u64) {
    let mut belief = x.cx.belief.borrow_mut();
    if let Some(server) = belief.fleet.get_mut(key) {
        let until = now().plus_millis(ms);
        server.avoid_until = server.avoid_until.max(until);
        server.failures += 1;
    }
}

/// Takes in why a backend server turned a request away; returns it for the log.
pub fn reject(
    x: &Exchange,
    choice: &Choice,
    head: &response::Parts,
    facts: &ResponseHead,
    misdirected: bool,
) -> &'static str {
    forget_part(x, choice);
    let mut belief = x.cx.belief.borrow_mut();
    let model = x.facts.prompt.as_ref().map(|prompt| prompt.model.as_str());
    let Some(server) = belief.fleet.get_mut(choice.server) else {
        return "server is gone";
    };
    if misdirected {
        server.avoid_until = now().plus_millis(AVOID_MISDIRECTED_MS);
        return "address belongs to another server";
    }
    let until = now().plus_millis(AVOID_REJECTED_MS);
    server.avoid_until = server.avoid_until.max(until);
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        return "turned away";
    }
    if let (Some(model), Some(version)) = (model, facts.weights) {
        if server.record_weights(model, version) {
            server.avoid_until = now();
        }
    }
    "weights differ"
}

/// Tells whether another backend server has the address by now.
pub fn is_misdirected(
    x: &Exchange,
    key: ServerKey,
    head: &response::Parts,
    facts: &ResponseHead,
) -> bool {
    let Some(answering) = &facts.server else {
        return false;
    };
    let belief = x.cx.belief.borrow();
    let expected = belief.fleet.get(key).map(|server| &*server.registration.id);
    head.status == StatusCode::MISDIRECTED_REQUEST && expected != Some(answering.as_str())
}

/// Takes in what an answer's head tells of its backend server.
pub fn learn(x: &Exchange, choice: &Choice, facts: &ResponseHead, status: StatusCode) {
    if let (Some(prompt), Some(version)) = (&x.facts.prompt, facts.weights) {
        x.cx.record_weights(choice.server, &prompt.model, version);
    }
    let mut belief = x.cx.belief.borrow_mut();
    let Some(server) = belief.fleet.get_mut(choice.server) else {
        return;
    };
    if status.is_server_error() {
        server.failures += 1;
    } else {
        server.failures = 0;
    }
}
