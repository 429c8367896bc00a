//! Mutations that each break one guarantee, to show that the randomised test notices it.

use crate::Node;

/// A fault to inject.
#[cfg_attr(not(feature = "mutations"), allow(dead_code))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Sends calls that may run at most once without a claim.
    SkipClaim,
    /// Resends such a call after its connection broke.
    ResendAfterBreak,
    /// Takes over a claim that another router holds.
    TakeOverClaim,
    /// Treats a claim as written although the response to the write was lost.
    TrustLostClaim,
    /// Puts a configuration with a lower version in force.
    AcceptOldConfig,
    /// Does not send a new configuration to other routers.
    KeepConfigToItself,
    /// Forwards tokens without checking their order.
    SkipOrderCheck,
    /// Handles reports of earlier attempts as if they were of the current one.
    MixAttempts,
    /// Refuses a call that may have run as not run.
    SayNotRun,
    /// Keeps using servers that are leaving.
    ForgetLeaving,
    /// Ends calls in flight immediately at shutdown.
    StopAtOnce,
    /// Requests no snapshot after a restart.
    SkipSnapshot,
    /// Ignores the incarnations of engines.
    IgnoreIncarnation,
    /// Does not count failed engines against a request.
    SkipStrikes,
}

impl Mutation {
    /// All mutations.
    #[cfg(feature = "mutations")]
    pub const ALL: [Mutation; 14] = [
        Mutation::SkipClaim,
        Mutation::ResendAfterBreak,
        Mutation::TakeOverClaim,
        Mutation::TrustLostClaim,
        Mutation::AcceptOldConfig,
        Mutation::KeepConfigToItself,
        Mutation::SkipOrderCheck,
        Mutation::MixAttempts,
        Mutation::SayNotRun,
        Mutation::ForgetLeaving,
        Mutation::StopAtOnce,
        Mutation::SkipSnapshot,
        Mutation::IgnoreIncarnation,
        Mutation::SkipStrikes,
    ];
}

impl Node {
    /// Injects one fault, or none.
    #[cfg(feature = "mutations")]
    pub fn with_mutation(mut self, mutation: Option<Mutation>) -> Node {
        self.mutation = mutation;
        self
    }

    /// Returns whether this fault is injected.
    #[cfg(feature = "mutations")]
    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns false: without the feature no fault can be injected.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn has_mutation(&self, _mutation: Mutation) -> bool {
        false
    }
}
