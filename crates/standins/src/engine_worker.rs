//! The engine stand-in's workers.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use backend::wire::ExportMessage;
use backend::FetchFrom;
use backend::HttpEngine;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::engine_run::EngineRun;
use crate::engine_state::Job;
use crate::EngineRecord;

/// Computes prompts one after the other, until one crashes the engine.
pub(crate) async fn prefill(run: Arc<EngineRun>, engines: HttpEngine, crash: UnboundedSender<u64>) {
    loop {
        let Some(job) = run.next_job() else {
            run.prefill_wake.notified().await;
            continue;
        };
        if job.stream.has_ended() || job.stream.is_abandoned() {
            run.skip(&job);
            continue;
        }
        if job.crashes {
            run.lasting.record(EngineRecord::Crashed {
                incarnation: run.incarnation,
                stream: job.stream.name.clone(),
            });
            // Nobody listens once the whole stand-in is being dropped.
            let _ = crash.send(run.incarnation);
            pending::<()>().await;
        }
        compute(&run, &engines, job).await;
    }
}

async fn compute(run: &EngineRun, engines: &HttpEngine, job: Job) {
    if let Some(from) = job.fetch_from {
        import(run, engines, &job, from).await;
    }
    let tokens = run.begin(&job);
    let ms = tokens / run.settings.prefill_tokens_per_ms.max(1);
    pause(ms).await;
    run.run(job);
}

async fn import(run: &EngineRun, engines: &HttpEngine, job: &Job, from: FetchFrom) {
    let keys = run.missing(job);
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
    let record = match engines.export(from.address, message).await {
        Ok(exported) => {
            let pieces = exported.keys.len();
            let ms = run.settings.import_ms_per_piece * u64::try_from(pieces).unwrap_or(0);
            pause(ms).await;
            run.store(&exported.keys);
            EngineRecord::Imported {
                stream,
                holder: from.address,
                pieces,
            }
        }
        Err(e) => EngineRecord::ImportFailed {
            stream,
            reason: e.to_string(),
        },
    };
    run.lasting.record(record);
}

/// Generates tokens of all running streams, one for each at a time.
pub(crate) async fn decode(run: Arc<EngineRun>) {
    loop {
        if !run.decode() {
            run.decode_wake.notified().await;
        }
        match run.settings.decode_ms {
            0 => yield_now().await,
            ms => sleep(Duration::from_millis(ms)).await,
        }
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}
