//! Settings of the engine stand-in.

use std::collections::BTreeMap;

/// Settings of the engine stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Name of its VM.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Models with the weights that it holds at each start.
    pub models: BTreeMap<String, u64>,
    /// Prompt tokens that it computes in a millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Time between two tokens of each stream, in milliseconds; 0 for no pause.
    pub decode_ms: u64,
    /// Pieces that its cache holds.
    pub cache_pieces: usize,
    /// Prompt tokens that may wait; more are refused.
    pub max_queued_tokens: u64,
    /// Generations that run at once.
    pub max_running: usize,
    /// Time for which a stream that nobody reads is kept, in milliseconds.
    pub grace_ms: u64,
    /// Time that an import of one piece takes, in milliseconds.
    pub import_ms_per_block: u64,
    /// Time after which it is back after a crash, in milliseconds; none for never.
    pub restart_ms: Option<u64>,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Text in a prompt that crashes it.
    pub crash_marker: Option<String>,
    /// Loses each cache event whose sequence number this divides, 0 for none.
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
            cache_pieces: 1_000,
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
