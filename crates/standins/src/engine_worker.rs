//! Prefill and decode workers of the engine stand-in.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use backend::wire::ExportMessage;
use backend::FetchFrom;
use backend::HttpEngine;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::engine_incarnation::EngineIncarnation;
use crate::engine_state::Job;
use crate::EngineRecord;

/// Runs the prefill of queued prompts one at a time, until one crashes the engine.
pub(crate) async fn prefill(
    engine: Arc<EngineIncarnation>,
    client: HttpEngine,
    crash: UnboundedSender<u64>,
) {
    loop {
        let Some(job) = engine.next_job() else {
            engine.prefill_wake.notified().await;
            continue;
        };
        if job.stream.has_ended() || job.stream.is_abandoned() {
            engine.skip_prefill(&job);
            continue;
        }
        if job.crashes_engine {
            engine.durable.record(EngineRecord::Crashed {
                incarnation: engine.incarnation,
                stream: job.stream.name.clone(),
            });
            // The receiver is gone while the engine is being dropped.
            let _ = crash.send(engine.incarnation);
            pending::<()>().await;
        }
        prefill_job(&engine, &client, job).await;
    }
}

/// Imports missing blocks if the request names a source, then simulates the prefill.
async fn prefill_job(engine: &EngineIncarnation, client: &HttpEngine, job: Job) {
    if let Some(from) = job.fetch_from {
        import_blocks(engine, client, &job, from).await;
    }
    let tokens = engine.begin_prefill(&job);
    let ms = tokens / engine.settings.prefill_tokens_per_ms.max(1);
    simulate_work(ms).await;
    engine.finish_prefill(job);
}

/// Imports the missing blocks of a prompt from another engine; a failure is only recorded.
async fn import_blocks(
    engine: &EngineIncarnation,
    client: &HttpEngine,
    job: &Job,
    from: FetchFrom,
) {
    let keys = engine.missing_blocks(job);
    if keys.is_empty() {
        return;
    }
    let message = ExportMessage {
        incarnation: from.incarnation,
        model: job.model.clone(),
        weights_version: job.weights_version,
        keys,
    };
    let stream = job.stream.name.clone();
    let record = match client.export(from.address, message).await {
        Ok(exported) => {
            let blocks = exported.keys.len();
            let ms = engine.settings.import_ms_per_block * u64::try_from(blocks).unwrap_or(0);
            simulate_work(ms).await;
            engine.store_blocks(&exported.keys);
            EngineRecord::Imported {
                stream,
                holder: from.address,
                blocks,
            }
        }
        Err(e) => EngineRecord::ImportFailed {
            stream,
            reason: e.to_string(),
        },
    };
    engine.durable.record(record);
}

/// Generates one token of each running stream per decode interval.
pub(crate) async fn decode(engine: Arc<EngineIncarnation>) {
    loop {
        if !engine.decode() {
            engine.decode_wake.notified().await;
        }
        match engine.settings.decode_ms {
            0 => yield_now().await,
            ms => sleep(Duration::from_millis(ms)).await,
        }
    }
}

/// Sleeps for the duration of simulated work, in milliseconds.
async fn simulate_work(ms: u64) {
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}
