//! Times in which connections must make progress.

/// Times within which connections must make progress, by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time from the first byte of a head to its end, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, and for which nothing of a body may arrive or nothing of a
    /// response be taken, in milliseconds.
    pub idle_ms: u64,
}
