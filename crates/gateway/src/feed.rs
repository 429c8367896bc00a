//! Follows what the store says.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use relay::Naming;
use tokio::time::sleep;

use crate::clock::now;
use crate::hub::Hub;
use crate::records;
use crate::store::Listing;
use crate::store::Revision;
use crate::store::StoreError;
use crate::store::Topic;
use crate::store::Update;
use crate::store::Watched;

/// Time for which a watch of rare changes waits, in milliseconds.
const RARE_WAIT_MS: u64 = 20_000;

/// Time for which a watch of registrations waits, in milliseconds.
const SERVERS_WAIT_MS: u64 = 2_000;

/// Pause between two watches of registrations, whose heartbeats are changes
/// too, in milliseconds: each call is paid for, and a leaving server must be
/// left within the platform's bound.
const SERVERS_PAUSE_MS: u64 = 700;

/// Pause after a call that failed, in milliseconds; up to half as much again is added.
const FAILED_PAUSE_MS: u64 = 250;

/// Follows one topic until the process ends.
pub async fn run(hub: Rc<Hub>, topic: Topic) {
    loop {
        let mut after = match hub.store.list(topic).await {
            Ok(listing) => {
                succeeded(&hub, topic, "list");
                let as_of = listing.as_of;
                take_in_all(&hub, topic, listing);
                as_of
            }
            Err(e) => {
                failed(&hub, topic, "list", &e).await;
                continue;
            }
        };
        while let Some(next) = watch(&hub, topic, after).await {
            after = next;
        }
    }
}

/// Waits for changes; none if the topic must be listed again.
async fn watch(hub: &Hub, topic: Topic, after: Revision) -> Option<Revision> {
    let wait_ms = match topic {
        Topic::Servers => {
            sleep(Duration::from_millis(SERVERS_PAUSE_MS)).await;
            if must_relist(hub) {
                return None;
            }
            SERVERS_WAIT_MS
        }
        Topic::Operators | Topic::Routers => RARE_WAIT_MS,
    };
    match hub.store.watch(topic, after, wait_ms).await {
        Ok(Watched::Changes(listing)) => {
            succeeded(hub, topic, "watch");
            for update in listing.updates {
                take_in(hub, update, Naming::Fresh);
            }
            Some(listing.as_of)
        }
        Ok(Watched::HistoryGone) => {
            log::info!("event=history_gone topic={} after={after}", topic.name());
            None
        }
        Err(e) => {
            failed(hub, topic, "watch", &e).await;
            Some(after)
        }
    }
}

/// Tells whether registrations are missing since the store was away, and would be back by now.
fn must_relist(hub: &Hub) -> bool {
    let belief = hub.belief.borrow();
    belief.fleet.has_missing() && belief.fleet.is_restored(now(), belief.store_away_until)
}

fn take_in_all(hub: &Hub, topic: Topic, listing: Listing) {
    if topic != Topic::Servers {
        for update in listing.updates {
            take_in(hub, update, Naming::Earlier);
        }
        return;
    }
    let mut entries = Vec::new();
    for update in listing.updates {
        match update {
            Update::Server(entry) => entries.push(entry),
            other => take_in(hub, other, Naming::Earlier),
        }
    }
    hub.replace_servers(entries, "store");
}

fn take_in(hub: &Hub, update: Update, naming: Naming) {
    match update {
        Update::Configuration(configuration) => hub.adopt_configuration(*configuration, "store"),
        Update::Weights { model, version } => {
            hub.adopt_weights(&model, version, naming, "store");
        }
        Update::Server(entry) => hub.adopt_server(entry, "store"),
        Update::ServerGone(id) => hub.drop_server(&id, "store"),
        Update::Record(record) => records::take_in(hub, record),
        Update::RecordGone(name) => records::take_out(hub, &name),
        Update::Unreadable { key, reason } => {
            log::warn!("event=entry_unreadable key={key:?} reason={reason:?}");
        }
    }
}

fn succeeded(hub: &Hub, topic: Topic, call: &'static str) {
    let calls = &hub.metrics.store_calls;
    calls.with_label_values(&[call, "ok"]).inc();
    let mut belief = hub.belief.borrow_mut();
    if belief.store_failing {
        log::info!(
            "event=store_regained topic={} away_ms={}",
            topic.name(),
            now().millis_since(belief.store_heard_at)
        );
        belief.store_away_until = now();
    }
    belief.store_failing = false;
    belief.store_heard_at = now();
}

async fn failed(hub: &Hub, topic: Topic, call: &'static str, e: &StoreError) {
    let calls = &hub.metrics.store_calls;
    calls.with_label_values(&[call, "failed"]).inc();
    {
        let mut belief = hub.belief.borrow_mut();
        if !belief.store_failing {
            log::warn!(
                "event=store_lost topic={} reason={:?}",
                topic.name(),
                e.to_string()
            );
        }
        belief.store_failing = true;
        belief.store_away_until = now();
    }
    let spread = rand::rng().random_range(0..=FAILED_PAUSE_MS / 2);
    sleep(Duration::from_millis(FAILED_PAUSE_MS + spread)).await;
}
