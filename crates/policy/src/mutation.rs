//! Switches that break one promise each, for the randomised run.

use crate::Node;

/// A mechanism that is switched off.
#[cfg_attr(not(feature = "mutations"), allow(dead_code))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Calls that may run at most once are sent without a claim.
    SkipClaim,
    /// Such a call is sent again after its connection broke.
    ResendAfterBreak,
    /// A claim that another router holds is taken over.
    TakeOverClaim,
    /// A claim whose answer was lost is taken for written.
    TrustLostClaim,
    /// A configuration with a lower version is put in force.
    AcceptOldConfig,
    /// Other routers aren't told of a new configuration.
    KeepConfigToItself,
    /// Tokens are passed on without a check of their order.
    SkipOrderCheck,
    /// Messages of earlier attempts are taken for those of the present one.
    MixAttempts,
    /// A call that may have run is refused as not run.
    SayNotRun,
    /// Servers that are leaving stay in use.
    ForgetLeaving,
    /// A shutdown ends calls in flight at once.
    StopAtOnce,
    /// A restarted router asks no other router for what it knows.
    SkipSnapshot,
    /// Incarnations of engines are ignored.
    IgnoreIncarnation,
    /// Runners that broke are not counted against a request.
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
    /// Switches one mechanism off.
    #[cfg(feature = "mutations")]
    pub fn with_mutation(mut self, mutation: Option<Mutation>) -> Node {
        self.mutation = mutation;
        self
    }

    /// Tells whether a mechanism is switched off.
    #[cfg(feature = "mutations")]
    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Tells whether a mechanism is switched off; none ever is.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn has_mutation(&self, _mutation: Mutation) -> bool {
        false
    }
}
