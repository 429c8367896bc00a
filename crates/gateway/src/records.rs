//! Records of the routers in the store: who is alive, and who gives orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::Time;
use rand::Rng;
use relay::Member;
use relay::Tenure;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::clock::now;
use crate::hub::Hub;
use crate::hub::Phase;
use crate::settings::Settings;
use crate::store::Committed;
use crate::store::LeaseId;
use crate::store::Record;
use crate::store::StoreError;
use crate::store::Write;

/// Records of live routers: their addresses, each under a lease.
const MEMBER: &str = "member/";

/// Record of the router that gives orders, under a lease.
const HOLDER: &str = "orders/holder";

/// Lease of a live router, in milliseconds.
const MEMBER_LEASE_MS: u64 = 12_000;

/// Time between renewals of it.
const MEMBER_RENEWAL: Duration = Duration::from_millis(4_000);

/// Time between looks at who gives orders.
const LOOK: Duration = Duration::from_millis(50);

/// Longest wait before an attempt to take over, in milliseconds; routers wait
/// differently, so that most see that another was first.
const TAKE_OVER_SPREAD_MS: u64 = 300;

/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// Time by which orders of an earlier tenure are over where engines check
/// fencing tokens, in milliseconds.
const FENCED_WAIT_MS: u64 = 200;

/// Takes in a record.
pub fn take_in(hub: &Hub, record: Record) {
    if let Some(name) = record.name.strip_prefix(MEMBER) {
        take_in_member(hub, name, &record.value);
    } else if record.name == HOLDER {
        hub.belief.borrow_mut().order_holder = Some(record.revision);
        let holder = String::from_utf8_lossy(&record.value).into_owned();
        log::info!(
            "event=order_holder holder={holder:?} fence={}",
            record.revision
        );
    }
}

/// Takes in the end of a record.
pub fn take_out(hub: &Hub, name: &str) {
    if let Some(name) = name.strip_prefix(MEMBER) {
        log::info!("event=router_removed peer={name:?}");
        hub.peers.remove(name);
    } else if name == HOLDER {
        hub.belief.borrow_mut().order_holder = None;
        log::info!("event=order_holder holder=none");
    }
}

fn take_in_member(hub: &Hub, name: &str, value: &Bytes) {
    if name == &*hub.settings.name {
        return;
    }
    match serde_json::from_slice::<MemberRecord>(value) {
        Ok(record) => {
            let address = record.address;
            log::info!("event=router_added peer={name:?} address={address}");
            hub.peers.add(name, address, Member::from(&record));
        }
        Err(e) => log::warn!(
            "event=router_unreadable peer={name:?} reason={:?}",
            e.to_string()
        ),
    }
}

/// Record of a live router.
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

/// Returns this router as the others see it.
pub fn member(settings: &Settings) -> Member {
    Member::from(&member_record(settings))
}

/// Keeps this router's record alive until the process ends.
pub async fn keep_member(hub: Rc<Hub>) {
    loop {
        match register(&hub).await {
            Ok(Some(lease)) => keep_alive(&hub, lease).await,
            Ok(None) => {}
            Err(e) => log::warn!("event=register_failed reason={:?}", e.to_string()),
        }
        sleep(FAILED_PAUSE * 3).await;
    }
}

async fn register(hub: &Hub) -> Result<Option<LeaseId>, StoreError> {
    let lease = hub.store.grant(MEMBER_LEASE_MS).await?;
    let name = format!("{MEMBER}{}", hub.settings.name);
    let value = serde_json::to_vec(&member_record(&hub.settings));
    let value = Some(Bytes::from(
        value.expect("a record of texts and numbers is JSON"),
    ));
    let write = Write {
        name: name.clone(),
        expected: None,
        value,
        lease: Some(lease),
    };
    match hub.store.commit(vec![write]).await? {
        Committed::At(_) => Ok(Some(lease)),
        Committed::Conflict | Committed::LeaseOver => Ok(None),
    }
}

async fn keep_alive(hub: &Hub, lease: LeaseId) {
    loop {
        sleep(MEMBER_RENEWAL).await;
        match hub.store.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => log::debug!("event=renewal_failed reason={:?}", e.to_string()),
        }
    }
}

/// Takes over the giving of orders whenever nobody else does.
pub async fn hold_orders(hub: Rc<Hub>) {
    loop {
        sleep(LOOK).await;
        let free = {
            let belief = hub.belief.borrow();
            belief.order_holder.is_none()
                && belief.fleet_known
                && hub.phase.get() == Phase::Serving
                && hub.may_give_orders()
        };
        if !free {
            continue;
        }
        let spread = rand::rng().random_range(0..TAKE_OVER_SPREAD_MS);
        sleep(Duration::from_millis(spread)).await;
        if hub.belief.borrow().order_holder.is_some() || hub.phase.get() != Phase::Serving {
            continue;
        }
        match take_over(&hub).await {
            Ok(Some(lease)) => hold(&hub, lease).await,
            Ok(None) => sleep(FAILED_PAUSE).await,
            Err(e) => {
                log::warn!("event=take_over_failed reason={:?}", e.to_string());
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

async fn take_over(hub: &Hub) -> Result<Option<LeaseId>, StoreError> {
    let ttl_ms = lease_ms(hub);
    let sent_at = now();
    let lease = hub.store.grant(ttl_ms).await?;
    let write = Write {
        name: HOLDER.to_owned(),
        expected: Some(0),
        value: Some(Bytes::from(hub.settings.name.to_string())),
        lease: Some(lease),
    };
    let fence = match hub.store.commit(vec![write]).await? {
        Committed::At(revision) => revision,
        Committed::Conflict | Committed::LeaseOver => {
            hub.store.end(lease).await?;
            return Ok(None);
        }
    };
    let wait_ms = if hub.settings.fenced {
        FENCED_WAIT_MS
    } else {
        hub.settings.order_lease_ms
    };
    let mut belief = hub.belief.borrow_mut();
    belief.order_holder = Some(fence);
    belief.tenure = Some(Tenure {
        fence,
        from: now().plus_millis(wait_ms),
        until: sent_at.plus_millis(ttl_ms),
    });
    belief.plan.clear();
    log::info!("event=tenure_began fence={fence} orders_wait_ms={wait_ms}");
    Ok(Some(lease))
}

async fn hold(hub: &Hub, lease: LeaseId) {
    let ttl_ms = lease_ms(hub);
    loop {
        let renewal_at = now().plus_millis(ttl_ms / 4);
        while now() < renewal_at && hub.phase.get() == Phase::Serving {
            sleep(LOOK).await;
        }
        if hub.phase.get() != Phase::Serving {
            // The lease lapses by itself if this call fails.
            if let Err(e) = hub.store.end(lease).await {
                log::warn!("event=release_failed reason={:?}", e.to_string());
            }
            return end_tenure(hub, "stopping");
        }
        let sent_at = now();
        match hub.store.renew(lease).await {
            Ok(true) => renew_tenure(hub, sent_at, ttl_ms),
            Ok(false) => return end_tenure(hub, "lease is over"),
            Err(e) => log::warn!("event=renewal_failed reason={:?}", e.to_string()),
        }
        let until = hub.belief.borrow().tenure.map(|tenure| tenure.until);
        if until.is_none_or(|until| until <= now()) {
            return end_tenure(hub, "not renewed in time");
        }
    }
}

fn renew_tenure(hub: &Hub, sent_at: Time, ttl_ms: u64) {
    if let Some(tenure) = &mut hub.belief.borrow_mut().tenure {
        tenure.renew(sent_at, ttl_ms);
    }
}

/// Ends this router's tenure.
pub fn end_tenure(hub: &Hub, reason: &str) {
    if hub.belief.borrow_mut().tenure.take().is_some() {
        log::info!("event=tenure_ended reason={reason:?}");
    }
}

fn lease_ms(hub: &Hub) -> u64 {
    hub.settings
        .min_lease_ms
        .max(hub.settings.order_lease_ms / 2)
}
