//! Times in which connections must make progress.

/// Times in which connections must move, by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time from the first byte of a head to its end, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, a body bring nothing and a response take nothing, in
    /// milliseconds.
    pub idle_ms: u64,
}
