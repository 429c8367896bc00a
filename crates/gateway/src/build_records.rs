//! Keeps the records of builds in the store: routers that read the registrations write them, all
//! read them once, so that a router knows at its start whether a service has had one build only.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use policy::Time;
use relay::BuildRecord;
use relay::BuildRecordChanges;
use relay::PresentBuild;
use relay::ServiceBuilds;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::cluster_view::MAX_STREAM_MS;
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
use crate::store::StoreUpdate;
use crate::store_era::note_era;
use crate::stream_record_task;
use crate::view_event::ViewEvent;

/// Prefix of the names of the records; the path of a record follows.
const PREFIX: &str = "builds/";

/// Interval at which this router checks whether it has read the registrations.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which it checks which records it is to write or delete.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest pause after calls that failed in a row; a store that refuses them is charged for each.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Time for which the first servers of a build wait for the record of it to be written, before
/// streams may begin there.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(250);

/// Content of a record, as JSON in the store.
#[derive(Debug, Serialize, Deserialize)]
struct BuildRecordJson {
    /// Era of the store in which it was written.
    era: u64,
}

/// Reads the records once, and keeps them up to date while this router reads the registrations,
/// until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut pause = POLL_INTERVAL;
    // A build that came while no router ran is recorded soon after the records were read.
    let mut interval = START_POLL_INTERVAL;
    loop {
        sleep(interval).await;
        let is_read = cx.view.borrow().build_records.is_read();
        if is_read {
            interval = POLL_INTERVAL;
        }
        match step(&cx, is_read).await {
            Ok(()) => pause = POLL_INTERVAL,
            Err(e) => {
                log_failure(Step::BuildRecords, &e);
                sleep(pause).await;
                pause = MAX_PAUSE.min(pause * 2);
            }
        }
    }
}

async fn step(cx: &Context, is_read: bool) -> Result<(), StoreError> {
    {
        let view = cx.view.borrow();
        if view.store_failing || view.fleet.reading().is_none() {
            return Ok(());
        }
    }
    if !is_read {
        return stream_record_task::read(cx, now()).await;
    }
    let changes = {
        let mut view = cx.view.borrow_mut();
        if !view.reads_registrations {
            return Ok(());
        }
        let now = now();
        let services = services(&view, now);
        view.build_records.changes(now, &services)
    };
    if changes.needs_reading {
        return stream_record_task::read(cx, now()).await;
    }
    make(cx, changes).await
}

/// Returns the builds of each service that has servers.
fn services(view: &ClusterView, now: Time) -> Vec<ServiceBuilds> {
    let mut present = BTreeMap::<Arc<str>, Vec<PresentBuild>>::new();
    for (_, server) in view.fleet.iter() {
        let service = Arc::clone(&server.registration.service);
        present
            .entry(service)
            .or_default()
            .push(PresentBuild::of(&server.registration));
    }
    let services = present.into_iter();
    services
        .map(|(service, present)| ServiceBuilds {
            lately: view.fleet.builds(now, &service),
            is_history_known: view.is_history_known(now, MAX_STREAM_MS),
            service,
            present,
        })
        .collect()
}

async fn make(cx: &Context, changes: BuildRecordChanges) -> Result<(), StoreError> {
    if changes.written.is_empty() && changes.deleted.is_empty() {
        return Ok(());
    }
    let era = cx.store.era().unwrap_or(0);
    let written = changes.written.iter().map(|r| write(r, Some(era)));
    let deleted = changes.deleted.iter().map(|r| write(r, None));
    let outcome = cx.store.commit(written.chain(deleted).collect()).await?;
    note_era(cx, cx.store.era(), "store");
    let CommitOutcome::Committed(revision) = outcome else {
        return Ok(());
    };
    // Records that name an earlier era than that in which they were written are written again.
    if revision.era == era {
        for record in changes.written {
            note(cx, &record, "written");
            cx.view.borrow_mut().build_records.set_written(record);
        }
    }
    for record in &changes.deleted {
        note(cx, record, "deleted");
        cx.view.borrow_mut().build_records.set_deleted(record);
    }
    Ok(())
}

fn note(cx: &Context, record: &BuildRecord, change: &'static str) {
    ViewEvent::BuildRecord {
        service: &record.service,
        build: record.build,
        change,
    }
    .write();
    let counter = &cx.metrics.streams.build_records;
    counter.with_label_values(&[change]).inc();
}

fn write(record: &BuildRecord, era: Option<u64>) -> RecordWrite {
    let json = era.map(|era| serde_json::to_vec(&BuildRecordJson { era }));
    let value = json.map(|json| Bytes::from(json.expect("numbers serialize to JSON")));
    RecordWrite {
        name: format!("{PREFIX}{}", record.path()),
        precondition: Precondition::None,
        value,
        lease: None,
    }
}

/// Writes the records of builds that come with these changes, before their servers are used. If the
/// store doesn't respond in time, the records are written later.
pub async fn record_new(cx: &Context, updates: &[StoreUpdate]) {
    let written = new_builds(&cx.view.borrow(), updates);
    if written.is_empty() {
        return;
    }
    let changes = BuildRecordChanges {
        written,
        ..BuildRecordChanges::default()
    };
    let result = timeout(FIRST_WRITE_TIMEOUT, make(cx, changes)).await;
    if let Ok(Err(e)) = result {
        log_failure(Step::BuildRecords, &e);
    }
}

fn new_builds(view: &ClusterView, updates: &[StoreUpdate]) -> Vec<BuildRecord> {
    let mut records = BTreeMap::new();
    for update in updates {
        let StoreUpdate::Server(registration) = update else {
            continue;
        };
        let service = &registration.service;
        let first = PresentBuild::of(registration);
        let mut servers = view.fleet.of_service(service);
        if servers.any(|(_, server)| server.build == first.build) {
            continue;
        }
        if let Some(record) = view.build_records.missing(service, first) {
            let key = (Arc::clone(service), first.build);
            records.entry(key).or_insert(record);
        }
    }
    records.into_values().collect()
}

/// Replaces what is known of the records by those read in an era.
pub fn replace(cx: &Context, records: &[Record], era: u64) {
    let (mut valid, mut outdated) = (BTreeSet::new(), BTreeSet::new());
    for record in records {
        match parse(record) {
            Ok((build, written_in)) if written_in == era => valid.insert(build),
            Ok((build, _)) => outdated.insert(build),
            Err(reason) => {
                ProcessEvent::EntryUnreadable {
                    key: &record.name,
                    reason: &reason,
                }
                .write();
                continue;
            }
        };
    }
    let mut view = cx.view.borrow_mut();
    view.build_records.replace(now(), valid, outdated);
}

fn parse(record: &Record) -> Result<(BuildRecord, u64), String> {
    let path = record.name.strip_prefix(PREFIX);
    let build = path.and_then(BuildRecord::from_path);
    let build = build.ok_or_else(|| "no record of a build".to_owned())?;
    let json: BuildRecordJson = serde_json::from_slice(&record.value).map_err(|e| e.to_string())?;
    Ok((build, json.era))
}
