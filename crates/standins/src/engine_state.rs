//! What one incarnation of the engine stand-in holds.

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

/// What one incarnation of the engine stand-in holds.
#[derive(Debug)]
pub(crate) struct EngineState {
    /// Pieces that are held.
    pub cache: BlockCache,
    /// Prompts that wait, by rank and arrival.
    pub queue: BTreeMap<(Reverse<u8>, u64), Job>,
    last_job_number: u64,
    /// Tokens of the prompt that is being computed.
    pub computing_tokens: u64,
    /// Streams by name.
    pub streams: HashMap<String, Arc<EngineStream>>,
    /// Streams that generate.
    pub running: Vec<Arc<EngineStream>>,
    /// Weights that are loaded, by model.
    pub weights: BTreeMap<String, u64>,
    /// Weights that were ordered last, by model.
    pub ordered: BTreeMap<String, u64>,
    /// Whether it takes nothing new.
    pub leaving: bool,
}

/// A prompt that waits for its computation.
#[derive(Debug)]
pub(crate) struct Job {
    /// Stream.
    pub stream: Arc<EngineStream>,
    /// Workspace.
    pub workspace: String,
    /// Model.
    pub model: String,
    /// Weights.
    pub weights_version: u64,
    /// Keys of the prompt's pieces.
    pub keys: Vec<u64>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens that had to be computed when it came in.
    pub missing_tokens: u64,
    /// Server that holds missing pieces.
    pub fetch_from: Option<FetchFrom>,
    /// Whether it crashes the engine.
    pub crashes_engine: bool,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
    pub(crate) fn new(settings: &EngineSettings) -> EngineState {
        EngineState {
            cache: BlockCache::new(settings.cache_pieces, settings.lose_event_every),
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
            Some(held) if req.weights_version == 0 || req.weights_version == *held => Ok(*held),
            _ => Err(EngineRefusal::StaleWeights),
        }
    }

    /// Returns the weights that are loaded.
    pub(crate) fn held_weights(&self) -> Vec<HeldWeights> {
        self.weights
            .iter()
            .map(|(model, version)| HeldWeights {
                model: model.clone(),
                version: *version,
            })
            .collect()
    }

    /// Returns the prompt tokens that wait for computation.
    pub(crate) fn queued_tokens(&self) -> u64 {
        let waiting = self.queue.values().map(|job| job.missing_tokens);
        waiting.sum::<u64>() + self.computing_tokens
    }

    /// Lets a prompt wait for its computation.
    pub(crate) fn enqueue(&mut self, priority: u8, job: Job) {
        self.last_job_number += 1;
        self.queue
            .insert((Reverse(priority), self.last_job_number), job);
    }

    /// Serves loaded weights, unless others were ordered in the meantime.
    pub(crate) fn finish_weights_load(&mut self, model: String, weights_version: u64) {
        if self.ordered.get(&model) == Some(&weights_version) {
            self.weights.insert(model, weights_version);
        }
    }

    /// Forgets streams that have ended and that nobody has read for a while.
    pub(crate) fn remove_abandoned_streams(&mut self) {
        self.streams
            .retain(|_, stream| !stream.has_ended() || !stream.is_abandoned());
    }
}
