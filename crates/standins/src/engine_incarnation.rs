//! One incarnation of the engine stand-in: its streams, cache and weights.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backend::wire::ExportMessage;
use backend::wire::ExportResponse;
use backend::CacheEvents;
use backend::GenerateRequest;
use backend::Load;
use backend::Order;
use backend::OrderResponse;
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

/// State of the engine stand-in that survives its crashes.
#[derive(Debug, Default)]
pub(crate) struct DurableState {
    /// Records of everything that the engine did.
    pub ledger: Mutex<Vec<EngineRecord>>,
    /// Highest fencing token received with an order.
    pub fencing: Mutex<u64>,
    /// Position before which all streams are paused, if any.
    pub hold_at: Mutex<Option<u32>>,
}

impl DurableState {
    /// Appends a record to the ledger.
    pub(crate) fn record(&self, record: EngineRecord) {
        lock(&self.ledger).push(record);
    }

    /// Returns whether the stream is paused at its current position.
    fn holds(&self, stream: &EngineStream) -> bool {
        lock(&self.hold_at).is_some_and(|position| stream.progress().produced >= position)
    }
}

/// One incarnation of the engine stand-in, from a start to the next crash.
#[derive(Debug)]
pub(crate) struct EngineIncarnation {
    /// Settings of the engine.
    pub settings: Arc<EngineSettings>,
    /// Number of the incarnation, higher after each restart.
    pub incarnation: u64,
    /// State that survives a crash.
    pub durable: Arc<DurableState>,
    /// Notified when the prefill worker may have a prompt to compute.
    pub prefill_wake: Notify,
    /// Notified when the decode worker may have tokens to generate.
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

    /// Queues a generation and returns a reader of its stream, or refuses it.
    ///
    /// A refusal is recorded in the ledger.
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
        let cached = state.cache.cached_prefix(&keys);
        let missing_tokens = prompt_tokens - tokens_in(cached);
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

    /// Returns a new reader of a stream, for a router that reconnects.
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

    /// Cancels the stream of this name, unless it has ended.
    pub(crate) fn cancel(&self, stream: &str) {
        let stream = self.state().streams.get(stream).cloned();
        if let Some(stream) = stream.filter(|stream| !stream.has_ended()) {
            self.cancel_stream(&stream);
        }
    }

    /// Cancels a stream and records that.
    pub(crate) fn cancel_stream(&self, stream: &EngineStream) {
        stream.cancel();
        self.durable.record(EngineRecord::Cancelled {
            stream: stream.name.clone(),
        });
    }

    /// Removes the next prompt from the queue and returns it.
    ///
    /// Returns `None` if the queue is empty or the maximum number of generations is running.
    pub(crate) fn next_job(&self) -> Option<Job> {
        let mut state = self.state();
        if state.running.len() >= self.settings.max_running {
            return None;
        }
        let (_, job) = state.queue.pop_first()?;
        state.computing_tokens = job.missing_tokens;
        Some(job)
    }

    /// Returns the keys of the prompt's blocks after the cached prefix.
    pub(crate) fn missing_blocks(&self, job: &Job) -> Vec<u64> {
        let state = self.state();
        job.keys[state.cache.cached_prefix(&job.keys)..].to_vec()
    }

    /// Stores blocks in the cache and wakes the readers of cache events.
    pub(crate) fn store_blocks(&self, keys: &[u64]) {
        self.state().cache.store(keys);
        self.cache_changed.send_replace(());
    }

    /// Begins the prefill of a prompt and returns the number of tokens to compute.
    pub(crate) fn begin_prefill(&self, job: &Job) -> u64 {
        let cached = self.state().cache.use_prefix(&job.keys);
        let cached_tokens = tokens_in(cached);
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

    /// Ends the prefill of a prompt and begins to generate its tokens.
    pub(crate) fn finish_prefill(&self, job: Job) {
        self.store_blocks(&job.keys);
        let mut state = self.state();
        state.computing_tokens = 0;
        state.running.push(job.stream);
        self.decode_wake.notify_one();
    }

    /// Drops a prompt whose stream has ended or been abandoned.
    pub(crate) fn skip_prefill(&self, job: &Job) {
        self.state().computing_tokens = 0;
        if !job.stream.has_ended() {
            self.cancel_stream(&job.stream);
        }
    }

    /// Produces one token of each running stream that isn't paused; returns whether any stream
    /// still runs.
    pub(crate) fn decode(&self) -> bool {
        let mut state = self.state();
        let before = state.running.len();
        state.running.retain(|stream| self.produce_token(stream));
        if state.running.len() != before {
            self.prefill_wake.notify_one();
        }
        !state.running.is_empty()
    }

    /// Produces one token unless the stream is paused; returns `false` once the stream has ended
    /// or is abandoned.
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

    /// Returns the engine's load.
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

    /// Starts a graceful shutdown: running work is finished and new requests are refused.
    pub(crate) fn leave(&self) {
        self.state().leaving = true;
    }

    /// Returns the cache events from `sequence` on, waiting up to `wait_ms` for the first one.
    ///
    /// For another incarnation, the events start at the first one of this incarnation.
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
        // After a timeout the response has no events.
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

    /// Accepts an order to load weights, or refuses it because of its fencing token.
    pub(crate) fn order(self: &Arc<EngineIncarnation>, order: Order) -> OrderResponse {
        let mut highest = lock(&self.durable.fencing);
        if self.settings.checks_fencing && order.fencing < *highest {
            return OrderResponse::StaleFencing(*highest);
        }
        *highest = order.fencing.max(*highest);
        drop(highest);
        self.durable.record(EngineRecord::Ordered {
            fencing: order.fencing,
            model: order.model.clone(),
            weights_version: order.weights_version,
        });
        self.start_weights_load(order.model, order.weights_version);
        OrderResponse::Taken
    }

    /// Unloads the current weights of the model and loads the ordered ones in a task.
    ///
    /// Does nothing if that version was already ordered.
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

    /// Returns those of the requested blocks that are in the cache.
    pub(crate) fn export(&self, message: &ExportMessage) -> Result<ExportResponse, EngineRefusal> {
        if message.incarnation != self.incarnation {
            return Err(EngineRefusal::StaleIncarnation);
        }
        let state = self.state();
        if state.weights.get(&message.model) != Some(&message.weights_version) {
            return Err(EngineRefusal::StaleWeights);
        }
        let cached = message.keys.iter().filter(|key| state.cache.holds(**key));
        Ok(ExportResponse {
            incarnation: self.incarnation,
            keys: cached.copied().collect(),
        })
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }
}

/// Returns the number of delivered tokens after checking that they belong to the prompt.
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
