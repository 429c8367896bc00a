//! Broken promises.

/// A promise that the checker watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A repeat gets the first answer, and each caller the answer to its own request.
    WholeAnswer,
    /// A stream is complete and in order.
    StreamOrder,
    /// "Not run" is true.
    TrueRefusal,
    /// An accepted configuration is in force within seconds.
    ConfigInForce,
    /// A configuration in force was accepted and never reverts.
    ConfigReverts,
    /// A leaving server gets no new work.
    Leaving,
    /// A graceful stop cuts no call.
    GracefulStop,
    /// Nothing relies on the cache of a dead incarnation or of other weights.
    CacheTruth,
    /// A request crashes a bounded number of runners.
    CrashBound,
    /// Innocent neighbours of a crash finish.
    Innocents,
    /// A restarted router serves at once.
    Restart,
    /// Every call gets a final answer.
    Vanished,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Promise.
    pub guarantee: Guarantee,
    /// What was seen.
    pub details: String,
}
