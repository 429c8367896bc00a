//! Quotas of workspaces: asks the router that grants them, and grants them to others.

use std::net::SocketAddr;
use std::rc::Rc;

use relay::QuotaAsk;
use relay::QuotaReply;
use tokio::time::timeout;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::peer_message::PeerMessage;
use crate::quotas::LatestReply;
use crate::quotas::Quotas;
use crate::quotas::SentVote;
use crate::timing::duration_until;
use crate::view_event::ViewEvent;

/// Shortest time between two runs of the task that sends due messages, in milliseconds. A request
/// that waits for a grant sends its message itself.
const MIN_PAUSE_MS: u64 = 10;

/// Maximum number of messages that are sent in a row.
const MAX_ASKS: usize = 8;

/// Asks for grants whenever that is due, until the process ends. Does nothing while no workspace
/// has a quota.
pub async fn run(cx: Rc<Context>) {
    let quotas = &cx.quotas;
    loop {
        let due = if quotas.has_quotas() {
            update_routers(&cx);
            send_due(&cx);
            let due = quotas.ledger.borrow().next_due();
            due.map(|due| due.max(now().plus_millis(MIN_PAUSE_MS)))
        } else {
            None
        };
        quotas.sleeps_until.set(due);
        match due {
            // Either the time has come or the next message is due earlier.
            Some(due) => drop(timeout(duration_until(due), quotas.due_changed.notified()).await),
            None => quotas.due_changed.notified().await,
        }
    }
}

/// Answers another router that votes for this one as the allocator.
pub async fn answer(cx: &Context, from: SocketAddr, ask: &QuotaAsk) {
    let reply = grant(cx, ask);
    count_message(cx, "reply");
    cx.send_to_peer(from, &PeerMessage::QuotaReply(reply)).await;
}

/// Applies a reply of an allocator, and lets the requests go on that wait for it.
pub fn apply(cx: &Context, reply: &QuotaReply) {
    let quotas = &cx.quotas;
    let now = now();
    quotas.ledger.borrow_mut().apply(now, reply);
    let granted = reply.grants.iter().map(|grant| grant.units as f64);
    cx.metrics.quotas.units_granted.inc_by(granted.sum());
    let answered = SentVote {
        allocator: reply.allocator,
        seq: reply.seq,
    };
    if reply.accepts && quotas.latest_vote.get() == Some(answered) {
        let latest = LatestReply {
            allocator: reply.allocator,
            received_at: now,
        };
        let before = quotas.latest_reply.replace(Some(latest));
        log_allocator(cx, before.map(|reply| reply.allocator), reply.allocator);
    }
    quotas.replied.notify_waiters();
    wake_if_due_earlier(quotas);
}

fn log_allocator(cx: &Context, before: Option<u64>, allocator: u64) {
    if before == Some(allocator) {
        return;
    }
    cx.metrics.quotas.allocator_changes.inc();
    ViewEvent::QuotaAllocator {
        allocator: &cx.peers.name(allocator),
        before: &before.map_or_else(|| "none".to_owned(), |before| cx.peers.name(before)),
    }
    .write();
}

fn wake_if_due_earlier(quotas: &Quotas) {
    let due = quotas.ledger.borrow().next_due();
    let sleeps_until = quotas.sleeps_until.get();
    if due.is_some_and(|due| sleeps_until.is_none_or(|until| due < until)) {
        quotas.due_changed.notify_one();
    }
}

/// Sends the messages that are due. Those to this router itself are answered at once.
pub fn send_due(cx: &Context) {
    for _ in 0..MAX_ASKS {
        let Some((allocator, ask)) = cx.quotas.ledger.borrow_mut().next_ask(now()) else {
            return;
        };
        // Only a message with the time of an earlier reply is a vote.
        if ask.echo_us.is_some() {
            let seq = ask.seq;
            let vote = SentVote { allocator, seq };
            cx.quotas.latest_vote.set(Some(vote));
        }
        if allocator == cx.peers.own_hash {
            let reply = grant(cx, &ask);
            apply(cx, &reply);
        } else if let Some(address) = cx.peers.address(allocator) {
            count_message(cx, "ask");
            cx.try_send_to_peer(address, &PeerMessage::QuotaAsk(ask));
        }
    }
}

/// Tells ledger and allocator which routers there are. Before they were read from the store, this
/// router may vote but grants nothing. Called from the first reading on, also without quotas, so
/// that the time for which an allocator must have known the routers has passed when there are some.
pub fn update_routers(cx: &Context) {
    let now = now();
    let quotas = &cx.quotas;
    let candidates = cx.peers.topology.borrow().quota_candidates();
    let registered = cx.view.borrow().routers_known.then_some(candidates.len());
    let mut ledger = quotas.ledger.borrow_mut();
    if let Some(registered) = registered {
        ledger.set_routers(now, registered);
    }
    if *quotas.candidates.borrow() != candidates {
        ledger.set_candidates(now, candidates.clone());
        quotas.candidates.replace(candidates);
    }
    quotas.allocator.borrow_mut().set_routers(now, registered);
}

fn grant(cx: &Context, ask: &QuotaAsk) -> QuotaReply {
    let mut allocator = cx.quotas.allocator.borrow_mut();
    allocator.answer(now(), ask)
}

fn count_message(cx: &Context, kind: &str) {
    let messages = &cx.metrics.quotas.messages;
    messages.with_label_values(&[kind]).inc();
}
