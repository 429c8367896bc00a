//! Guarantees and their violations.

/// A guarantee of the routers that a run checks. The names are printed with a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A non-idempotent call is executed at most once.
    AtMostOnce,
    /// Each call gets one result, which belongs to its request; a repeated booking gets the
    /// response of its first execution.
    WholeAnswer,
    /// A stream delivers all its tokens in order.
    StreamOrder,
    /// A call refused with the outcome "not run" was and will not be executed.
    TrueRefusal,
    /// Undisturbed routers apply an accepted configuration within seconds.
    ConfigInForce,
    /// Routers apply only accepted configurations and never return to an older one.
    ConfigReverts,
    /// A leaving engine gets no new work.
    Leaving,
    /// A graceful stop leaves no call in flight and cuts off none before its deadline.
    GracefulStop,
    /// No attempt relies on the cache of an ended incarnation or of other weights.
    CacheTruth,
    /// A request crashes a bounded number of engines.
    CrashBound,
    /// Of the requests that were on an engine when another request crashed it, at most 1% are lost:
    /// not served in a calm run, refused for crashing engines in any other.
    Innocents,
    /// A restarted router obtains a configuration and serves within a short time.
    Restart,
    /// Every call gets a final result.
    Vanished,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Guarantee that was violated.
    pub guarantee: Guarantee,
    /// Observation that violates it.
    pub details: String,
}
