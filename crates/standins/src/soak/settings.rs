//! Settings of a run.

use policy::Mutation;

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Seed from which everything follows.
    pub seed: u64,
    /// Happenings to run through before the run winds down.
    pub steps: u64,
    /// Routers.
    pub routers: usize,
    /// Model engines.
    pub runners: usize,
    /// One in this many streams crashes its engines; 0 for none.
    pub one_crashing_in: u64,
    /// Whether crashing requests are the only fault.
    pub calm: bool,
    /// Mechanism that is switched off, if any.
    pub mutation: Option<Mutation>,
    /// Whether to keep the whole trace, not just its end.
    pub keep_trace: bool,
}
