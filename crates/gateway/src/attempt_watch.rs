//! Ends attempts at backend servers that don't respond, or may no longer run them.

use std::time::Duration;

use policy::Time;
use relay::Choice;
use relay::ServerKey;
use tokio::time::interval;

use crate::clock::now;
use crate::exchange::Exchange;

/// Time for which a backend server may leave all its requests without a response, beyond
/// the time allowed for their prefill, in milliseconds. After that, an attempt of a request
/// that may be retried is abandoned.
const UNRESPONSIVE_MS: u64 = 1_200;

/// The same for a backend server that this router is found to be cut off from.
const CUT_OFF_SILENCE_MS: u64 = 500;

/// Time for which a request may still wait at an engine once none is sent there any more because of
/// its weights, in milliseconds. With the interval of the check it stays below the margin that the
/// weights' due time keeps from the operators' limit.
const BEGIN_SLACK_MS: u64 = 600;

/// Interval at which an attempt checks its backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Completes once a backend server has not responded to any request for more than
/// [`UNRESPONSIVE_MS`], beyond the time allowed for prefill, or is found to be cut off from this
/// router while it owes a response.
pub async fn until_unresponsive(x: &Exchange, key: ServerKey) {
    let mut ticks = interval(POLL_INTERVAL);
    let begun_at = now();
    loop {
        ticks.tick().await;
        let view = x.cx.view.borrow();
        let Some(server) = view.fleet.get(key) else {
            continue;
        };
        let cut_since = view.reach.cut_since(&server.registration.domain);
        let was_cut_off = cut_since.is_some_and(|since| since > begun_at)
            && server.own_silence_ms(now()) > CUT_OFF_SILENCE_MS;
        if was_cut_off || server.unresponsive_ms(now()) > UNRESPONSIVE_MS {
            return;
        }
    }
}

/// Completes when a request that an engine has not begun to run may no longer begin there, as it
/// has replaced weights. That holds for requests that may not be retried too: their callers learn
/// that the outcome is unknown.
pub async fn until_weights_overdue(x: &Exchange, choice: &Choice) {
    let mut ticks = interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let overdue_from = weights_overdue_from(x, choice);
        if overdue_from.is_some_and(|at| at.plus_millis(BEGIN_SLACK_MS) <= now()) {
            return;
        }
    }
}

/// Returns from when on the request may not begin at the engine; none if its weights are the newest.
fn weights_overdue_from(x: &Exchange, choice: &Choice) -> Option<Time> {
    let view = x.cx.view.borrow();
    match (&x.parsed.prompt, choice.weights) {
        (Some(prompt), Some(version)) => view.weights.overdue_from(&prompt.model, version),
        _ => {
            let server = view.fleet.get(choice.server)?;
            view.weights.server_overdue_from(server)
        }
    }
}
