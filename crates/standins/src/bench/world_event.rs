//! Events of the simulation.

use crate::bench::engine::Job;
use crate::bench::router::Dispatch;
use crate::bench::router::Input;

/// A scheduled event.
pub(super) enum WorldEvent {
    /// A request, given by its index, arrives at its router.
    RequestArrives(usize),
    /// An attempt arrives at its engine, from a router with its incarnation.
    DispatchArrives(Dispatch, usize, u64),
    /// A cancellation arrives at an engine, for a request and attempt.
    CancelArrives(usize, usize, u32),
    /// A fetch for a job ends at an engine, given with its incarnation; the last field is the
    /// number of leading blocks that the other engine had.
    FetchEnds(usize, u64, Job, usize),
    /// An engine, given with its incarnation, finishes a prefill.
    PrefillEnds(usize, u64),
    /// An engine, given with its incarnation, generates the last token of a job.
    DecodeEnds(usize, u64, Job),
    /// An input arrives at a router, for one of its incarnations.
    InputArrives(usize, u64, Input),
    /// The next deadline of a router is due, for one of its incarnations.
    TickDue(usize, u64),
    /// An engine publishes a load report.
    PublishLoad(usize),
    /// An engine publishes its cache events.
    PublishCache(usize),
    /// A random engine crashes.
    CrashEngine,
    /// An engine starts again after a crash.
    RestartEngine(usize),
    /// Several routers restart at the same time.
    RestartRouters,
    /// All routers receive the membership list.
    PublishMembership,
}
