//! Settings of one simulation run.

use policy::Mutation;

/// Settings of one simulation run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of events after which no new requests and faults start.
    pub steps: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines.
    pub runners: usize,
    /// One in this many streams crashes the engines that run it; 0 for none.
    pub one_crashing_in: u64,
    /// Whether crashing requests are the only faults.
    pub calm: bool,
    /// Mechanism of the router that is disabled, to test that the checks notice it.
    pub mutation: Option<Mutation>,
    /// Whether to keep the whole trace, not just its last lines.
    pub keep_trace: bool,
}
