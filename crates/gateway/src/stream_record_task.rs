//! Records in the store of streams and builds, which outlive the routers.
//!
//! Two routers write the streams for all, in batches, so that they are written soon with few calls.
//! Nothing waits for that: what isn't written when all routers are killed is refused.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::Time;
use rand::Rng;
use relay::Build;
use relay::StoredStreams;
use relay::StreamBatch;
use relay::StreamId;
use relay::StreamOrigin;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::build_records;
use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::log_failure;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::store::CommitOutcome;
use crate::store::LeaseId;
use crate::store::Precondition;
use crate::store::Record;
use crate::store::RecordWrite;
use crate::store::StoreError;
use crate::store::StoreUpdate;
use crate::store::Topic;
use crate::store_era::note_era;
use crate::timing::duration_until;

/// Prefix of the names of the records with streams; router, process and number follow.
const PREFIX: &str = "streams/";

/// Name whose hash chooses the routers that write the streams.
const WRITERS: &str = "stream-writers";

/// Number of routers that write the streams, each all of them, as messages may be lost.
const WRITER_COUNT: usize = 2;

/// Interval between the writes of one router, in milliseconds. Together the writers make 40 calls
/// a second at most; each call has a price.
const WRITE_INTERVAL_MS: u64 = 50;

/// The same interval while a router doesn't know the others, so that each may write.
const ALONE_INTERVAL_MS: u64 = 250;

/// Time to live of the lease of a record, in milliseconds: the time for which it is written, and
/// that for which callers wait for their streams.
const LEASE_MS: u64 = 45_000;

/// Time for which records are bound to the same lease, in milliseconds.
const LEASE_USE_MS: u64 = 10_000;

/// Time in which the store must return the records to a caller that waits.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Shortest time between two readings because of unknown streams, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// What the store says of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredOrigin {
    /// It began at this build.
    Known(Build),
    /// The store has no certain record of it.
    Unknown,
    /// The store couldn't be read.
    Unread,
}

impl StoredOrigin {
    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            StoredOrigin::Known(_) => "known",
            StoredOrigin::Unknown => "unknown",
            StoredOrigin::Unread => "unread",
        }
    }
}

/// Returns the routers that write the streams.
pub fn writers(cx: &Context) -> Vec<u64> {
    let topology = cx.peers.topology.borrow();
    topology.agents(policy::name_hash(WRITERS), WRITER_COUNT)
}

/// Takes streams that began here or at other routers, to write them if that is up to this router.
pub fn add(cx: &Context, streams: &[StreamOrigin]) {
    if !writers(cx).contains(&cx.peers.own_hash) {
        return;
    }
    let now = now();
    let mut batches = cx.stream_records.batches.borrow_mut();
    for origin in streams {
        batches.add(now, *origin);
    }
    drop(batches);
    cx.stream_records.added.notify_one();
}

/// Writes the streams until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut writer = Writer {
        process: rand::rng().random(),
        lease: None,
    };
    loop {
        let added = cx.stream_records.added.notified();
        match next_batch(&cx) {
            Some(batch) => writer.write(&cx, batch).await,
            None => wait(&cx, added).await,
        }
    }
}

fn next_batch(cx: &Context) -> Option<StreamBatch> {
    let interval_ms = if cx.view.borrow().routers_known {
        WRITE_INTERVAL_MS
    } else {
        ALONE_INTERVAL_MS
    };
    let mut batches = cx.stream_records.batches.borrow_mut();
    batches.next(now(), interval_ms)
}

/// Waits until a batch is due, or streams were added while none was.
async fn wait<F>(cx: &Context, added: F)
where
    F: Future<Output = ()>,
{
    let due = cx.stream_records.batches.borrow().next_due();
    match due {
        Some(due) => sleep(duration_until(due)).await,
        None => added.await,
    }
}

/// Lease to which batches are bound.
struct BatchLease {
    id: LeaseId,
    use_until: Time,
}

/// Writes one router's batches.
struct Writer {
    /// Number of this process, so that it doesn't replace the records of the one before it.
    process: u32,
    lease: Option<BatchLease>,
}

impl Writer {
    async fn write(&mut self, cx: &Context, batch: StreamBatch) {
        let is_written = match self.commit(cx, &batch).await {
            Ok(is_written) => is_written,
            Err(e) => {
                log_failure(Step::StreamRecords, &e);
                false
            }
        };
        let outcome = if is_written { "written" } else { "failed" };
        let counter = &cx.metrics.streams.batches;
        counter.with_label_values(&[outcome]).inc();
        let mut batches = cx.stream_records.batches.borrow_mut();
        batches.record_outcome(now(), is_written);
    }

    async fn commit(&mut self, cx: &Context, batch: &StreamBatch) -> Result<bool, StoreError> {
        let lease = self.lease(cx).await?;
        let (name, process, number) = (&cx.settings.name, self.process, batch.number);
        let value = postcard::to_stdvec(&batch.streams).expect("numbers serialize");
        let write = RecordWrite {
            name: format!("{PREFIX}{name}/{process:x}-{number}"),
            precondition: Precondition::None,
            value: Some(Bytes::from(value)),
            lease: Some(lease),
        };
        let outcome = cx.store.commit(vec![write]).await?;
        note_era(cx, cx.store.era(), "store");
        let is_written = matches!(outcome, CommitOutcome::Committed(_));
        if !is_written {
            self.lease = None;
        }
        Ok(is_written)
    }

    async fn lease(&mut self, cx: &Context) -> Result<LeaseId, StoreError> {
        let era = cx.store.era();
        self.lease
            .take_if(|lease| lease.use_until <= now() || era > Some(lease.id.era));
        if let Some(lease) = &self.lease {
            return Ok(lease.id);
        }
        let use_until = now().plus_millis(LEASE_USE_MS);
        let id = cx.store.grant(LEASE_MS).await?;
        self.lease = Some(BatchLease { id, use_until });
        Ok(id)
    }
}

/// Returns when the oldest reading may have been made by which an unknown stream is refused.
pub fn oldest_reading() -> Time {
    Time(now().0.saturating_sub(READ_INTERVAL_MS * 1_000))
}

/// Returns what the store says of a stream that a caller takes up, by records that were read at
/// `not_before` or later if they don't have it.
pub async fn look_up(cx: &Context, stream: Option<StreamId>, not_before: Time) -> StoredOrigin {
    let stored = || {
        let stored = cx.stream_records.stored.borrow();
        stream.and_then(|stream| stored.build(stream))
    };
    if let Some(build) = stored() {
        return StoredOrigin::Known(build);
    }
    if cx.view.borrow().store_failing {
        return StoredOrigin::Unread;
    }
    match timeout(READ_TIMEOUT, read(cx, not_before)).await {
        Ok(Ok(())) => stored().map_or(StoredOrigin::Unknown, StoredOrigin::Known),
        Ok(Err(e)) => {
            log_failure(Step::StreamRecords, &e);
            StoredOrigin::Unread
        }
        Err(_) => StoredOrigin::Unread,
    }
}

/// Reads the records, unless they were read at `not_before` or later.
pub async fn read(cx: &Context, not_before: Time) -> Result<(), StoreError> {
    let records = &cx.stream_records;
    let _turn = records.reading.lock().await;
    if records.read_at.get() >= Some(not_before) {
        return Ok(());
    }
    let called_at = now();
    // Builds that come after the reading are seen in the registrations, if those were known before.
    let knows_servers = cx.view.borrow().fleet.reading().is_some();
    let listing = cx.store.list(Topic::Streams).await?;
    note_era(cx, cx.store.era(), "store");
    let mut stored = StoredStreams::default();
    let mut builds = Vec::new();
    for update in listing.updates {
        let StoreUpdate::Record(record) = update else {
            continue;
        };
        if record.name.starts_with(PREFIX) {
            add_stored(&mut stored, &record);
        } else {
            builds.push(record);
        }
    }
    records.stored.replace(stored);
    records.read_at.set(Some(called_at));
    if knows_servers {
        build_records::replace(cx, &builds, listing.as_of.era);
    }
    Ok(())
}

fn add_stored(stored: &mut StoredStreams, record: &Record) {
    match postcard::from_bytes::<Vec<StreamOrigin>>(&record.value) {
        Ok(streams) => streams.into_iter().for_each(|origin| stored.add(origin)),
        Err(e) => ProcessEvent::EntryUnreadable {
            key: &record.name,
            reason: &e,
        }
        .write(),
    }
}
