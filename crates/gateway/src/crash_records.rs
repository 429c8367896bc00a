//! Records of blocked suspects in the store. From them routers know what crashes servers after all
//! of them were restarted.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::Arrival;
use relay::RecordChange;
use relay::StrikeUpdate;
use relay::SuspectKey;
use relay::SuspectUpdate;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::log_failure;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::store::CommitOutcome;
use crate::store::Precondition;
use crate::store::Record;
use crate::store::RecordWrite;
use crate::store::StoreError;

/// Prefix of the names of the records; the path of the suspect's key follows.
const PREFIX: &str = "crashing/";

/// Interval at which this router checks which records it is to write or delete.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// What is known of a blocked suspect, as JSON in the store.
#[derive(Debug, Serialize, Deserialize)]
struct CrashRecord {
    /// Instance hashes of the backend servers that crashed.
    crashed: Vec<u64>,
}

impl From<&SuspectUpdate> for CrashRecord {
    fn from(update: &SuspectUpdate) -> CrashRecord {
        let crashed = update.strikes.iter().map(|strike| strike.server);
        CrashRecord {
            crashed: crashed.collect(),
        }
    }
}

impl CrashRecord {
    /// Returns the update for a router that reads the record in an era of the store. The crashes
    /// count from now on, as the record has no time.
    fn update(&self, suspect: SuspectKey, era: u64) -> SuspectUpdate {
        let strikes = self.crashed.iter().map(|server| StrikeUpdate {
            server: *server,
            age_ms: 0,
        });
        SuspectUpdate {
            suspect,
            strikes: strikes.collect(),
            completed_age_ms: None,
            trials: 0,
            tried_age_ms: 0,
            recorded_in: Some(era),
        }
    }
}

/// Writes and deletes records when it is this router's turn, until the process ends.
pub async fn run(cx: Rc<Context>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(change) = next_change(&cx) else {
            continue;
        };
        if let Err(e) = make(&cx, change).await {
            log_failure(Step::CrashRecord, &e);
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Applies a record if it is that of a blocked suspect. Returns whether it is.
pub fn apply_record(cx: &Context, record: &Record) -> bool {
    let Some(path) = record.name.strip_prefix(PREFIX) else {
        return false;
    };
    match parse(path, &record.value) {
        Ok((suspect, content)) => {
            let update = content.update(suspect, record.revision.era);
            cx.merge_suspect(Arrival::at(now()), &update, "store");
        }
        Err(reason) => ProcessEvent::EntryUnreadable {
            key: &record.name,
            reason: &reason,
        }
        .write(),
    }
    true
}

fn parse(path: &str, value: &[u8]) -> Result<(SuspectKey, CrashRecord), String> {
    let suspect = path.parse::<SuspectKey>().map_err(|e| e.to_string())?;
    let content = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    Ok((suspect, content))
}

fn next_change(cx: &Context) -> Option<RecordChange> {
    let view = cx.view.borrow();
    if view.store_failing || !view.routers_known {
        return None;
    }
    let era = view.store_era.unwrap_or(0);
    let topology = cx.peers.topology.borrow();
    let rank = |suspect: SuspectKey| topology.rank_for(suspect.hash());
    view.crash_evidence.record_change(now(), era, rank)
}

async fn make(cx: &Context, change: RecordChange) -> Result<(), StoreError> {
    let (suspect, value) = match change {
        RecordChange::Write(suspect) => (suspect, Some(record_value(cx, suspect))),
        RecordChange::Delete(suspect) => (suspect, None),
    };
    let is_written = value.is_some();
    let write = RecordWrite {
        name: format!("{PREFIX}{}", suspect.path()),
        precondition: Precondition::None,
        value,
        lease: None,
    };
    if let CommitOutcome::Committed(revision) = cx.store.commit(vec![write]).await? {
        let era = is_written.then_some(revision.era);
        let mut view = cx.view.borrow_mut();
        view.crash_evidence.set_recorded(suspect, era);
    }
    Ok(())
}

fn record_value(cx: &Context, suspect: SuspectKey) -> Bytes {
    let view = cx.view.borrow();
    let update = view.crash_evidence.update(now(), suspect);
    let record = update.as_ref().map(CrashRecord::from);
    let json = serde_json::to_vec(&record);
    Bytes::from(json.expect("numbers serialize to JSON"))
}
