//! Lets requests wait at the router until a backend server has room for them.
//!
//! In force only where the room of servers is limited.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use relay::Choice;
use relay::QueueRefusal;
use relay::QueuedRequest;
use relay::RequestQueue;
use relay::RoomNeed;
use relay::Routers;
use relay::Ticket;
use relay::Unplaceable;
use relay::Urgency;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::context::Context;
use crate::context::Phase;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::request_event::RequestEvent;

/// Longest time between two looks for room, in milliseconds, if nothing wakes the request.
const POLL_MS: u64 = 25;

/// Part of the latency objective for which a request may wait here, in percent; the rest is for the
/// wait and the prefill at the server.
const WAIT_OBJECTIVE_PERCENT: u64 = 70;

/// Longest time for which a request waits here, in milliseconds.
const MAX_WAIT_MS: u64 = 400;

/// Time over which streams are spread that are resumed after a failure, in milliseconds: a crash of
/// many servers interrupts hundreds at once.
const RESUME_SPREAD_MS: u64 = 200;

/// Time after which the caller of a request may return that waited at a router that stops.
const STOPPING_RETRY_AFTER_MS: u64 = 150;

/// A request that waits; dropping it removes it from the queue.
struct WaitingRequest {
    cx: Rc<Context>,
    service: Arc<str>,
    ticket: Ticket,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.cx
            .with_queue(&self.service, |queue| queue.leave(self.ticket));
    }
}

/// Chooses a backend server by `choose`, and waits for room where the room of servers is limited.
pub async fn choose_with_room<F>(
    x: &Exchange,
    urgency: Urgency,
    choose: F,
) -> Result<Choice, Unplaceable>
where
    F: Fn(&Exchange) -> Result<Choice, Unplaceable>,
{
    if !x.cx.limits_room() {
        return choose(x);
    }
    if urgency == Urgency::Urgent {
        sleep(Duration::from_millis(x.seed % RESUME_SPREAD_MS)).await;
        renew_rooms(x, RoomNeed::Resumed);
        return choose(x);
    }
    let request = queued_request(x);
    if x.cx.with_queue(&x.service, |queue| queue.is_empty()) {
        match choose_now(x, &request, &choose) {
            Ok(choice) => {
                x.cx.with_queue(&x.service, |queue| queue.begin_at_once(now(), &request));
                count(x, "at_once");
                return Ok(choice);
            }
            Err(e) if is_final(e, &request) => return Err(e),
            Err(_) => {}
        }
    }
    let entered =
        x.cx.with_queue(&x.service, |queue| queue.enter(now(), &request));
    match entered {
        Ok(ticket) => wait(x, &request, ticket, choose).await,
        Err(refusal) => {
            count(x, "refused");
            Err(no_room(refusal))
        }
    }
}

async fn wait<F>(
    x: &Exchange,
    request: &QueuedRequest,
    ticket: Ticket,
    choose: F,
) -> Result<Choice, Unplaceable>
where
    F: Fn(&Exchange) -> Result<Choice, Unplaceable>,
{
    let began_at = now();
    let waiting = WaitingRequest {
        cx: Rc::clone(&x.cx),
        service: Arc::clone(&x.service),
        ticket,
    };
    let result = until_room(x, request, ticket, choose).await;
    let waited_ms = now().millis_since(began_at);
    if result.is_ok() {
        x.cx.with_queue(&x.service, |queue| queue.begin(now(), ticket));
    }
    drop(waiting);
    // The next one may find room too.
    x.cx.room_freed.notify_waiters();
    x.cx.metrics
        .times
        .queue_wait
        .observe(waited_ms as f64 / 1_000.0);
    count(x, outcome(&result));
    RequestEvent::Waited {
        id: &x.parsed.id,
        service: &x.service,
        outcome: outcome(&result),
        waited_ms,
        queued: x.cx.with_queue(&x.service, |queue| queue.len()),
    }
    .write();
    result
}

async fn until_room<F>(
    x: &Exchange,
    request: &QueuedRequest,
    ticket: Ticket,
    choose: F,
) -> Result<Choice, Unplaceable>
where
    F: Fn(&Exchange) -> Result<Choice, Unplaceable>,
{
    let entered_at = now();
    loop {
        let freed = x.cx.room_freed.notified();
        if x.cx.phase.get() == Phase::Leaving {
            return Err(Unplaceable::Stopping {
                retry_after_ms: STOPPING_RETRY_AFTER_MS,
            });
        }
        let is_next =
            x.cx.with_queue(&x.service, |queue| queue.next(now()) == Some(ticket));
        if is_next {
            match choose_now(x, request, &choose) {
                Ok(choice) => return Ok(choice),
                Err(e) if is_final(e, request) => return Err(e),
                Err(_) => {}
            }
        }
        if request.begin_by <= now() {
            let waited_ms = now().millis_since(entered_at);
            let refusal =
                x.cx.with_queue(&x.service, |queue| queue.refuse(now(), request, waited_ms));
            return Err(no_room(refusal));
        }
        let left_ms = request.begin_by.millis_since(now());
        let _ = timeout(Duration::from_millis(left_ms.clamp(1, POLL_MS)), freed).await;
    }
}

fn choose_now<F>(x: &Exchange, request: &QueuedRequest, choose: &F) -> Result<Choice, Unplaceable>
where
    F: Fn(&Exchange) -> Result<Choice, Unplaceable>,
{
    let need =
        x.cx.with_queue(&x.service, |queue| queue.need(now(), request.workspace));
    renew_rooms(x, need);
    choose(x)
}

/// Returns whether waiting doesn't help.
fn is_final(e: Unplaceable, request: &QueuedRequest) -> bool {
    match e {
        Unplaceable::Full { .. } => false,
        Unplaceable::NoneReady { retry_after_ms } => {
            now().plus_millis(retry_after_ms) > request.begin_by
        }
        _ => true,
    }
}

fn queued_request(x: &Exchange) -> QueuedRequest {
    let workspace = x.workspace.as_deref();
    let wait_ms = (x.route.objective_ms * WAIT_OBJECTIVE_PERCENT / 100).min(MAX_WAIT_MS);
    QueuedRequest {
        workspace: workspace.map_or(0, |w| policy::name_hash(&w.name)),
        priority: workspace
            .and_then(|w| w.priority)
            .unwrap_or(x.route.priority),
        is_retry: x.attempts > 0,
        begin_by: now().plus_millis(wait_ms).min(x.deadline),
        seed: x.seed,
    }
}

fn renew_rooms(x: &Exchange, need: RoomNeed) {
    let routers = Routers {
        own_hash: x.cx.peers.own_hash,
        count: x.cx.peers.count(),
    };
    let mut view = x.cx.view.borrow_mut();
    view.fleet.renew_rooms(now(), &x.service, routers, need);
}

fn no_room(refusal: QueueRefusal) -> Unplaceable {
    Unplaceable::NoRoom {
        retry_after_ms: refusal.retry_after_ms,
        wait_ms: refusal.wait_ms,
    }
}

fn outcome(result: &Result<Choice, Unplaceable>) -> &'static str {
    match result {
        Ok(_) => "began",
        Err(Unplaceable::NoRoom { .. }) => "in_vain",
        Err(e) => e.reason(),
    }
}

fn count(x: &Exchange, outcome: &str) {
    x.cx.metrics.queue.with_label_values(&[outcome]).inc();
}

impl Context {
    /// Runs `f` with the queue of a service.
    fn with_queue<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut RequestQueue) -> R,
    {
        let mut view = self.view.borrow_mut();
        f(view.queues.entry(Arc::clone(service)).or_default())
    }
}
