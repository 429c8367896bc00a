//! Chooses the backend server of a request's next attempt.

use relay::Choice;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStores;
use relay::Prompt;
use relay::ServerKey;
use relay::Unplaceable;
use relay::Urgency;

use crate::clock::now;
use crate::exchange::Exchange;
use crate::permits::may_send;
use crate::places;
use crate::places::Place;
use crate::request_wait::choose_with_room;

/// Maximum number of backend servers for which a request asks for a permit in turn.
const MAX_PERMIT_REQUESTS: usize = 4;

/// Time after which a caller may return whose request got no permit, in milliseconds.
const NO_PERMIT_RETRY_AFTER_MS: u64 = 500;

/// Chooses the backend server of the next attempt, and takes a permit and a place in it if its
/// requests need them.
pub async fn place(x: &mut Exchange, urgency: Urgency) -> Result<Choice, Unplaceable> {
    x.place = None;
    for _ in 0..MAX_PERMIT_REQUESTS {
        let choice = choose_with_room(x, urgency, choose).await?;
        let (id, server) = (&x.parsed.id, choice.server);
        let place = match places::take(&x.cx, id, server, x.deadline).await {
            Place::Denied => continue,
            Place::NotNeeded => None,
            Place::Held(place) => Some(place),
        };
        let is_permitted = may_send(&x.cx, id, server, urgency).await;
        if is_permitted && takes_requests(x, server) {
            x.place = place;
            return Ok(choice);
        }
    }
    Err(Unplaceable::NoneReady {
        retry_after_ms: NO_PERMIT_RETRY_AFTER_MS,
    })
}

/// Returns whether a backend server still takes requests, after the time that a permit took.
fn takes_requests(x: &Exchange, key: ServerKey) -> bool {
    let view = x.cx.view.borrow();
    let server = view.fleet.get(key);
    server.is_some_and(|server| server.takes_requests(now()))
}

fn choose(x: &Exchange) -> Result<Choice, Unplaceable> {
    let view = x.cx.view.borrow();
    let prompt = x.parsed.prompt.as_ref().map(|prompt| Prompt {
        model: &prompt.model,
        parts: &prompt.parts,
        partition: x.cache_partition(&view),
    });
    let request = PlacementRequest {
        service: &x.service,
        objective_ms: x.route.objective_ms,
        deadline: x.deadline,
        prompt,
        stream_build: x.stream_build.get(),
        tried: &x.tried,
        seed: x.seed,
    };
    let placement = Placement {
        fleet: &view.fleet,
        residency: &view.residency,
        weights: &view.weights,
        stores: PrefixStores {
            configuration: view.configuration.as_deref(),
            regions: &x.cx.settings.regions,
        },
        limits_room: x.cx.limits_room(),
        domain: &x.cx.settings.domain,
        now: now(),
    };
    let result = placement.choose(&request);
    let metrics = &x.cx.metrics;
    let took_us = now().micros_since(placement.now);
    metrics.times.decision.observe(took_us as f64 / 1_000_000.0);
    if let Ok(choice) = &result {
        metrics
            .times
            .expected_wait
            .observe(choice.wait_ms / 1_000.0);
    }
    result
}
