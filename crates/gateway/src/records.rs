//! Records of the routers in the store: registrations of live routers, and the holder of the order lease.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use relay::Member;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::context::Context;
use crate::crash_records;
use crate::log_event::LogEvent;
use crate::order_event::OrderEvent;
use crate::process_event::log_failure;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::router_entry::RouterEntry;
use crate::settings::Settings;
use crate::store::CommitOutcome;
use crate::store::LeaseId;
use crate::store::Precondition;
use crate::store::Record;
use crate::store::RecordWrite;
use crate::store::StoreError;
use crate::store::StoreUpdate;
use crate::store_era::note_era;
use crate::store_era::until_turn_to_rewrite;
use crate::view_event::ViewEvent;

/// Prefix of the names of the records with which live routers register, each under a lease.
const MEMBER: &str = "member/";

/// Name of the record with the name of the router that gives orders; it expires with
/// the order lease.
pub const ORDER_LEASE_RECORD: &str = "orders/holder";

/// Time to live of the lease on a router's registration, in milliseconds.
const MEMBER_LEASE_MS: u64 = 12_000;

/// Interval at which that lease is renewed.
const MEMBER_RENEWAL: Duration = Duration::from_millis(4_000);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Applies a record that was written.
pub fn apply_record(cx: &Context, record: Record) {
    if crash_records::apply_record(cx, &record) {
        return;
    }
    if let Some(name) = record.name.strip_prefix(MEMBER) {
        apply_member(cx, name, &record.value);
    } else if record.name == ORDER_LEASE_RECORD {
        cx.view.borrow_mut().order_lease_revision = Some(record.revision);
        let holder = String::from_utf8_lossy(&record.value).into_owned();
        OrderEvent::OrderHolder {
            holder: &holder,
            fence: record.revision.fencing_token(),
        }
        .write();
    }
}

/// Applies the deletion of a record.
pub fn remove_record(cx: &Context, name: &str) {
    if let Some(name) = name.strip_prefix(MEMBER) {
        // A late write may have bound the entry to an earlier lease, which has expired.
        if name == &*cx.settings.name {
            cx.own_entry_removed.notify_one();
        }
        remove_router(cx, name);
    } else if name == ORDER_LEASE_RECORD {
        cx.view.borrow_mut().order_lease_revision = None;
        OrderEvent::NoOrderHolder.write();
    }
}

/// Removes all records that a listing doesn't name: the store's history may have
/// dropped their deletions before this router read them.
/// The entries of the other routers stay if `keeps_members` is set.
pub fn remove_unlisted(cx: &Context, listed: &[StoreUpdate], keeps_members: bool) {
    let listed: HashSet<&str> = listed.iter().filter_map(record_name).collect();
    let peers = cx.peers.names().into_iter().filter(|_| !keeps_members);
    let mut unlisted: Vec<String> = peers.map(|name| format!("{MEMBER}{name}")).collect();
    if cx.view.borrow().order_lease_revision.is_some() {
        unlisted.push(ORDER_LEASE_RECORD.to_owned());
    }
    unlisted.retain(|name| !listed.contains(name.as_str()));
    for name in unlisted {
        remove_record(cx, &name);
    }
}

fn record_name(update: &StoreUpdate) -> Option<&str> {
    match update {
        StoreUpdate::Record(record) => Some(&record.name),
        _ => None,
    }
}

fn apply_member(cx: &Context, name: &str, value: &Bytes) {
    match serde_json::from_slice::<MemberRecord>(value) {
        Ok(record) => {
            let entry = RouterEntry {
                name: name.to_owned(),
                address: record.address,
                member: Member::from(&record),
            };
            add_router(cx, entry);
        }
        Err(e) => ProcessEvent::EntryUnreadable {
            key: name,
            reason: &e,
        }
        .write(),
    }
}

/// Adds a router to those that this one knows.
pub fn add_router(cx: &Context, entry: RouterEntry) {
    let address = entry.address;
    let name = entry.name.clone();
    if cx.peers.add(entry) {
        let peer = &name;
        ViewEvent::RouterAdded { peer, address }.write();
    }
}

/// Removes a router from those that this one knows.
pub fn remove_router(cx: &Context, name: &str) {
    ViewEvent::RouterRemoved { peer: name }.write();
    cx.peers.remove(name);
}

/// Registration of a live router, as JSON in the store.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    address: SocketAddr,
    region: String,
    capacity: u32,
}

impl From<&MemberRecord> for Member {
    fn from(record: &MemberRecord) -> Member {
        Member {
            region: policy::name_hash(&record.region),
            capacity: record.capacity,
        }
    }
}

fn member_record(settings: &Settings) -> MemberRecord {
    let region = settings.regions.get(&settings.domain);
    MemberRecord {
        address: SocketAddr::new(settings.listen.callers.ip(), settings.listen.peer_port),
        region: region.unwrap_or(&settings.domain).to_string(),
        capacity: settings.capacity,
    }
}

/// Returns this router's own entry in the list of routers.
pub fn own_entry(settings: &Settings) -> RouterEntry {
    let record = member_record(settings);
    RouterEntry {
        name: settings.name.to_string(),
        address: record.address,
        member: Member::from(&record),
    }
}

/// Keeps this router registered until the process ends.
pub async fn keep_registered(cx: Rc<Context>) {
    let mut first_era = None;
    loop {
        match register(&cx).await {
            Ok(Some(lease)) => {
                note_era(&cx, cx.store.era(), "store");
                if *first_era.get_or_insert(lease.era) < lease.era {
                    first_era = Some(lease.era);
                    cx.metrics.entries_rewritten.inc();
                    ProcessEvent::EntryRewritten { era: lease.era }.write();
                }
                renew_registration(&cx, lease).await;
                if cx.view.borrow().store_era > Some(lease.era) {
                    continue;
                }
            }
            Ok(None) => {}
            Err(e) => log_failure(Step::Register, &e),
        }
        sleep(RETRY_PAUSE * 3).await;
    }
}

async fn register(cx: &Context) -> Result<Option<LeaseId>, StoreError> {
    let lease = cx.store.grant(MEMBER_LEASE_MS).await?;
    let name = format!("{MEMBER}{}", cx.settings.name);
    let value = serde_json::to_vec(&member_record(&cx.settings));
    let value = Some(Bytes::from(
        value.expect("strings and numbers serialize to JSON"),
    ));
    let write = RecordWrite {
        name: name.clone(),
        precondition: Precondition::None,
        value,
        lease: Some(lease),
    };
    match cx.store.commit(vec![write]).await? {
        CommitOutcome::Committed(_) => Ok(Some(lease)),
        CommitOutcome::Conflict | CommitOutcome::LeaseExpired => Ok(None),
    }
}

async fn renew_registration(cx: &Context, lease: LeaseId) {
    loop {
        tokio::select! {
            () = until_turn_to_rewrite(cx, lease.era) => return,
            () = cx.own_entry_removed.notified() => return,
            () = sleep(MEMBER_RENEWAL) => {}
        }
        match cx.store.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => log_failure(Step::Renewal, &e),
        }
    }
}
