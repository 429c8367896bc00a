//! Settings of the engine stand-in.

use std::collections::BTreeMap;

/// Settings of the engine stand-in: identity, speeds, limits and simulated faults.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Name of its VM.
    pub name: String,
    /// Region of its VM.
    pub region: String,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Version of the weights that is loaded at each start, by model.
    pub models: BTreeMap<String, u64>,
    /// Prompt tokens computed per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Time between two tokens of a stream, in milliseconds; 0 for no delay.
    pub decode_ms: u64,
    /// Capacity of the cache, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of prompt tokens in the queue; requests beyond it are refused.
    pub max_queued_tokens: u64,
    /// Maximum number of generations that run at the same time.
    pub max_running: usize,
    /// Time after which a stream without a reader is abandoned, in milliseconds.
    pub grace_ms: u64,
    /// Time to import one block from another engine, in milliseconds.
    pub import_ms_per_block: u64,
    /// Delay of the restart after a crash, in milliseconds; `None` for no restart.
    pub restart_ms: Option<u64>,
    /// Whether orders with a fencing token lower than the highest one seen are refused.
    pub checks_fencing: bool,
    /// Text that crashes the engine when a prompt contains it.
    pub crash_marker: Option<String>,
    /// Drops each cache event whose sequence number is a multiple of this; 0 for none.
    pub lose_event_every: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            name: "engine-1".to_owned(),
            region: "west".to_owned(),
            failure_domain: "west-1".to_owned(),
            models: BTreeMap::from([("base".to_owned(), 1)]),
            prefill_tokens_per_ms: 1_000,
            decode_ms: 1,
            cache_blocks: 1_000,
            max_queued_tokens: 10_000_000,
            max_running: 1_000,
            grace_ms: 2_000,
            import_ms_per_block: 0,
            restart_ms: Some(100),
            checks_fencing: true,
            crash_marker: None,
            lose_event_every: 0,
        }
    }
}
