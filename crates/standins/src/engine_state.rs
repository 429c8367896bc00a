//! Mutable state of one incarnation of the engine stand-in.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use backend::FetchFrom;
use backend::GenerateRequest;
use backend::HeldWeights;

use crate::engine_refusal::EngineRefusal;
use crate::engine_stream::EngineStream;
use crate::BlockCache;
use crate::EngineSettings;

/// Mutable state of one incarnation of the engine stand-in.
#[derive(Debug)]
pub(crate) struct EngineState {
    /// Cached blocks.
    pub cache: BlockCache,
    /// Prompts that wait for prefill, by descending priority rank and then by arrival.
    pub queue: BTreeMap<(Reverse<u8>, u64), Job>,
    /// Number of the last job queued.
    last_job_number: u64,
    /// Tokens of the prompt in prefill; 0 if there is none.
    pub computing_tokens: u64,
    /// All streams by name.
    pub streams: HashMap<String, Arc<EngineStream>>,
    /// Streams that generate tokens.
    pub running: Vec<Arc<EngineStream>>,
    /// Version of the loaded weights, by model.
    pub weights: BTreeMap<String, u64>,
    /// Version of the weights ordered last, by model.
    pub ordered: BTreeMap<String, u64>,
    /// Whether the engine is shutting down and refuses new requests.
    pub leaving: bool,
}

/// A prompt that waits for prefill.
#[derive(Debug)]
pub(crate) struct Job {
    /// Stream that receives the generated tokens.
    pub stream: Arc<EngineStream>,
    /// Workspace of the request.
    pub workspace: String,
    /// Name of the model.
    pub model: String,
    /// Version of the weights that serves the request.
    pub weights_version: u64,
    /// Keys of the blocks of the prompt.
    pub keys: Vec<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens that were not cached when the request arrived.
    pub missing_tokens: u64,
    /// Engine from which missing blocks can be imported.
    pub fetch_from: Option<FetchFrom>,
    /// Whether the prompt crashes the engine.
    pub crashes_engine: bool,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
    pub(crate) fn new(settings: &EngineSettings) -> EngineState {
        EngineState {
            cache: BlockCache::new(settings.cache_blocks, settings.lose_event_every),
            queue: BTreeMap::new(),
            last_job_number: 0,
            computing_tokens: 0,
            streams: HashMap::new(),
            running: Vec::new(),
            weights: settings.models.clone(),
            ordered: settings.models.clone(),
            leaving: false,
        }
    }

    /// Returns the version of the weights that will serve a request, or refuses it.
    ///
    /// Incarnation 0 and version 0 in the request stand for any.
    pub(crate) fn check_admission(
        &self,
        incarnation: u64,
        req: &GenerateRequest,
    ) -> Result<u64, EngineRefusal> {
        if self.leaving {
            return Err(EngineRefusal::Leaving);
        }
        if req.incarnation != 0 && req.incarnation != incarnation {
            return Err(EngineRefusal::StaleIncarnation);
        }
        match self.weights.get(&req.model) {
            Some(loaded) if req.weights_version == 0 || req.weights_version == *loaded => {
                Ok(*loaded)
            }
            _ => Err(EngineRefusal::StaleWeights),
        }
    }

    /// Returns the versions of the loaded weights.
    pub(crate) fn held_weights(&self) -> Vec<HeldWeights> {
        self.weights
            .iter()
            .map(|(model, version)| HeldWeights {
                model: model.clone(),
                version: *version,
            })
            .collect()
    }

    /// Returns the number of prompt tokens in the queue and in prefill.
    pub(crate) fn queued_tokens(&self) -> u64 {
        let waiting = self.queue.values().map(|job| job.missing_tokens);
        waiting.sum::<u64>() + self.computing_tokens
    }

    /// Adds a prompt to the queue.
    pub(crate) fn enqueue(&mut self, priority: u8, job: Job) {
        self.last_job_number += 1;
        self.queue
            .insert((Reverse(priority), self.last_job_number), job);
    }

    /// Records loaded weights, unless another version was ordered in the meantime.
    pub(crate) fn finish_weights_load(&mut self, model: String, weights_version: u64) {
        if self.ordered.get(&model) == Some(&weights_version) {
            self.weights.insert(model, weights_version);
        }
    }

    /// Removes the streams that have ended and been abandoned.
    pub(crate) fn remove_abandoned_streams(&mut self) {
        self.streams
            .retain(|_, stream| !stream.has_ended() || !stream.is_abandoned());
    }
}
