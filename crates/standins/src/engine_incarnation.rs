//! One incarnation of the engine stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backend::wire::ExportAnswer;
use backend::wire::ExportMessage;
use backend::CacheEvents;
use backend::GenerateRequest;
use backend::Load;
use backend::Order;
use backend::OrderAnswer;
use backend::Started;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::engine_refusal::EngineRefusal;
use crate::engine_state::EngineState;
use crate::engine_state::Job;
use crate::engine_stream::EngineStream;
use crate::engine_stream::StreamReader;
use crate::prompt_blocks::block_keys;
use crate::prompt_blocks::tokens_in;
use crate::prompt_blocks::tokens_of;
use crate::EngineRecord;
use crate::EngineSettings;
use crate::PromptHash;
use crate::WeightStore;

/// What outlives a crash.
#[derive(Debug, Default)]
pub(crate) struct DurableState {
    /// What was really done.
    pub ledger: Mutex<Vec<EngineRecord>>,
    /// Highest fencing number seen.
    pub fencing: Mutex<u64>,
    /// Position before which all streams wait, if they do.
    pub hold_at: Mutex<Option<u32>>,
}

impl DurableState {
    /// Enters a record in the ledger.
    pub(crate) fn record(&self, record: EngineRecord) {
        lock(&self.ledger).push(record);
    }

    fn holds(&self, stream: &EngineStream) -> bool {
        lock(&self.hold_at).is_some_and(|position| stream.progress().produced >= position)
    }
}

/// One incarnation of the engine stand-in.
#[derive(Debug)]
pub(crate) struct EngineIncarnation {
    /// Settings.
    pub settings: Arc<EngineSettings>,
    /// Incarnation.
    pub incarnation: u64,
    /// What outlives it.
    pub durable: Arc<DurableState>,
    /// Wakes the worker that computes prompts.
    pub prefill_wake: Notify,
    /// Wakes the worker that generates tokens.
    pub decode_wake: Notify,
    weight_store: WeightStore,
    cache_changed: watch::Sender<()>,
    state: Mutex<EngineState>,
}

impl EngineIncarnation {
    /// Creates an incarnation with an empty cache.
    pub(crate) fn new(
        settings: Arc<EngineSettings>,
        incarnation: u64,
        durable: Arc<DurableState>,
        weight_store: WeightStore,
    ) -> EngineIncarnation {
        let state = EngineState::new(&settings);
        EngineIncarnation {
            settings,
            incarnation,
            durable,
            prefill_wake: Notify::new(),
            decode_wake: Notify::new(),
            weight_store,
            cache_changed: watch::Sender::new(()),
            state: Mutex::new(state),
        }
    }

    /// Takes a generation in, or refuses it.
    pub(crate) fn generate(&self, req: GenerateRequest) -> Result<StreamReader, EngineRefusal> {
        let name = req.stream.clone();
        let admitted = self.admit(req);
        if let Err(refusal) = &admitted {
            self.durable.record(EngineRecord::Refused {
                stream: name,
                reason: refusal.reason(),
            });
        }
        admitted
    }

    fn admit(&self, mut req: GenerateRequest) -> Result<StreamReader, EngineRefusal> {
        let mut state = self.state();
        req.weights_version = state.check_admission(self.incarnation, &req)?;
        let prompt = PromptHash::new(&req.prompt);
        let position = check_delivered(prompt, &req.delivered)?;
        let keys = block_keys(&req);
        let prompt_tokens = tokens_of(&req.prompt);
        let held = state.cache.held_prefix(&keys);
        let missing_tokens = prompt_tokens - tokens_in(held);
        if state.queued_tokens() + missing_tokens > self.settings.max_queued_tokens {
            return Err(EngineRefusal::Overloaded);
        }
        let grace = Duration::from_millis(self.settings.grace_ms);
        let stream = EngineStream::new(req.stream, prompt, position, req.max_tokens, grace);
        let stream = Arc::new(stream);
        let reader = stream.attach();
        state.remove_abandoned_streams();
        state
            .streams
            .insert(stream.name.clone(), Arc::clone(&stream));
        let crash_marker = self.settings.crash_marker.as_deref();
        let job = Job {
            stream,
            workspace: req.workspace,
            model: req.model,
            weights_version: req.weights_version,
            keys,
            prompt_tokens,
            missing_tokens,
            fetch_from: req.fetch_from,
            crashes_engine: crash_marker
                .is_some_and(|crash_marker| req.prompt.contains(crash_marker)),
        };
        state.enqueue(req.priority, job);
        self.prefill_wake.notify_one();
        Ok(reader)
    }

    /// Finds a stream whose reader has come back.
    pub(crate) fn resume(
        &self,
        stream: &str,
        incarnation: u64,
    ) -> Result<StreamReader, EngineRefusal> {
        if incarnation != self.incarnation {
            return Err(EngineRefusal::StaleIncarnation);
        }
        let state = self.state();
        match state.streams.get(stream) {
            Some(stream) if !stream.progress().cancelled => Ok(stream.attach()),
            _ => Err(EngineRefusal::StreamGone),
        }
    }

    /// Gives a stream up.
    pub(crate) fn cancel(&self, stream: &str) {
        let stream = self.state().streams.get(stream).cloned();
        if let Some(stream) = stream.filter(|stream| !stream.has_ended()) {
            self.cancel_stream(&stream);
        }
    }

    /// Gives a stream up and records it.
    pub(crate) fn cancel_stream(&self, stream: &EngineStream) {
        stream.cancel();
        self.durable.record(EngineRecord::Cancelled {
            stream: stream.name.clone(),
        });
    }

    /// Takes the next prompt to compute, if there is one and room to run it.
    pub(crate) fn next_job(&self) -> Option<Job> {
        let mut state = self.state();
        if state.running.len() >= self.settings.max_running {
            return None;
        }
        let (_, job) = state.queue.pop_first()?;
        state.computing_tokens = job.missing_tokens;
        Some(job)
    }

    /// Returns the pieces of a prompt that are missing from the cache.
    pub(crate) fn missing_blocks(&self, job: &Job) -> Vec<u64> {
        let state = self.state();
        job.keys[state.cache.held_prefix(&job.keys)..].to_vec()
    }

    /// Stores pieces in the cache.
    pub(crate) fn store_blocks(&self, keys: &[u64]) {
        self.state().cache.store(keys);
        self.cache_changed.send_replace(());
    }

    /// Begins a prompt's computation and returns the number of tokens to compute.
    pub(crate) fn begin_prefill(&self, job: &Job) -> u64 {
        let held = self.state().cache.use_prefix(&job.keys);
        let cached_tokens = tokens_in(held);
        let first_position = job.stream.progress().produced;
        self.durable.record(EngineRecord::Ran {
            incarnation: self.incarnation,
            stream: job.stream.name.clone(),
            workspace: job.workspace.clone(),
            model: job.model.clone(),
            weights_version: job.weights_version,
            prompt_tokens: job.prompt_tokens,
            cached_tokens,
            first_position,
        });
        job.stream.mark_started(Started {
            incarnation: self.incarnation,
            prompt_tokens: job.prompt_tokens,
            cached_tokens,
        });
        job.prompt_tokens - cached_tokens
    }

    /// Ends a prompt's computation and lets its stream run.
    pub(crate) fn finish_prefill(&self, job: Job) {
        self.store_blocks(&job.keys);
        let mut state = self.state();
        state.computing_tokens = 0;
        state.running.push(job.stream);
        self.decode_wake.notify_one();
    }

    /// Ends a prompt's computation without running it.
    pub(crate) fn skip_prefill(&self, job: &Job) {
        self.state().computing_tokens = 0;
        if !job.stream.has_ended() {
            self.cancel_stream(&job.stream);
        }
    }

    /// Produces one token of each running stream; `false` when none runs.
    pub(crate) fn decode(&self) -> bool {
        let mut state = self.state();
        let before = state.running.len();
        state.running.retain(|stream| self.produce_token(stream));
        if state.running.len() != before {
            self.prefill_wake.notify_one();
        }
        !state.running.is_empty()
    }

    /// Produces one token; `false` when the stream runs no more.
    fn produce_token(&self, stream: &EngineStream) -> bool {
        if stream.has_ended() {
            return false;
        }
        if stream.is_abandoned() {
            self.cancel_stream(stream);
            return false;
        }
        if self.durable.holds(stream) || !stream.produce() {
            return true;
        }
        self.durable.record(EngineRecord::Finished {
            stream: stream.name.clone(),
        });
        false
    }

    /// Returns the load.
    pub(crate) fn load(&self) -> Load {
        let state = self.state();
        Load {
            incarnation: self.incarnation,
            queued_tokens: state.queued_tokens(),
            running: u32::try_from(state.running.len()).unwrap_or(u32::MAX),
            leaving: state.leaving,
            weights: Some(state.held_weights()),
        }
    }

    /// Makes it leave: it finishes what it has and takes nothing new.
    pub(crate) fn leave(&self) {
        self.state().leaving = true;
    }

    /// Waits for cache events from `sequence` on.
    pub(crate) async fn cache_events(
        &self,
        incarnation: u64,
        sequence: u64,
        wait_ms: u64,
    ) -> CacheEvents {
        let sequence = match incarnation == self.incarnation {
            true => sequence.max(1),
            false => 1,
        };
        let mut changed = self.cache_changed.subscribe();
        let wait = changed.wait_for(|()| !self.events_from(sequence).events.is_empty());
        // Without an event in time the answer is empty.
        let _ = timeout(Duration::from_millis(wait_ms), wait).await;
        self.events_from(sequence)
    }

    fn events_from(&self, sequence: u64) -> CacheEvents {
        let (first_sequence, events) = self.state().cache.events_from(sequence);
        CacheEvents {
            incarnation: self.incarnation,
            first_sequence,
            events,
        }
    }

    /// Takes an order, or refuses it for its fencing number.
    pub(crate) fn order(self: &Arc<EngineIncarnation>, order: Order) -> OrderAnswer {
        let mut highest = lock(&self.durable.fencing);
        if self.settings.checks_fencing && order.fencing < *highest {
            return OrderAnswer::StaleFencing(*highest);
        }
        *highest = order.fencing.max(*highest);
        drop(highest);
        self.durable.record(EngineRecord::Ordered {
            fencing: order.fencing,
            model: order.model.clone(),
            weights_version: order.weights_version,
        });
        self.start_weights_load(order.model, order.weights_version);
        OrderAnswer::Taken
    }

    fn start_weights_load(self: &Arc<EngineIncarnation>, model: String, weights_version: u64) {
        let mut state = self.state();
        if state.ordered.get(&model) == Some(&weights_version) {
            return;
        }
        state.weights.remove(&model);
        state.ordered.insert(model.clone(), weights_version);
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.weight_store.load().await;
            engine.state().finish_weights_load(model, weights_version);
        });
    }

    /// Exports those of the wanted pieces that it holds.
    pub(crate) fn export(&self, message: &ExportMessage) -> Result<ExportAnswer, EngineRefusal> {
        if message.incarnation != self.incarnation {
            return Err(EngineRefusal::StaleIncarnation);
        }
        let state = self.state();
        if state.weights.get(&message.model) != Some(&message.weights_version) {
            return Err(EngineRefusal::StaleWeights);
        }
        let held = message.keys.iter().filter(|key| state.cache.holds(**key));
        Ok(ExportAnswer {
            incarnation: self.incarnation,
            keys: held.copied().collect(),
        })
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }
}

fn check_delivered(prompt: PromptHash, delivered: &[String]) -> Result<u32, EngineRefusal> {
    let mut position = 0;
    for text in delivered {
        if *text != prompt.token(position) {
            return Err(EngineRefusal::BadDelivered);
        }
        position += 1;
    }
    Ok(position)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
