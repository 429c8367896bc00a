//! Policies by their names.

use policy::Node;

use crate::bench::baseline::Baseline;
use crate::bench::baseline::Rule;
use crate::bench::deployment;
use crate::bench::router::NodeRouter;
use crate::bench::router::Router;
use crate::bench::setup::Setup;

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// A rule to compare with.
    Baseline(Rule),
    /// The project's node.
    Node,
}

/// All policies in the order of the table.
pub const VARIANTS: [(&str, Variant); 5] = [
    ("random", Variant::Baseline(Rule::Random)),
    ("least_loaded", Variant::Baseline(Rule::LeastLoaded)),
    ("rendezvous", Variant::Baseline(Rule::Rendezvous)),
    ("current", Variant::Node),
    ("oracle", Variant::Baseline(Rule::Oracle)),
];

impl Variant {
    /// Makes a router for its n-th start.
    pub fn router(self, setup: &Setup, router: usize, start: u64, seed: u64) -> Box<dyn Router> {
        let seed = seed * 1_000 + router as u64 * 10 + start;
        match self {
            Variant::Baseline(rule) => Box::new(Baseline::new(rule, setup.runners, seed)),
            Variant::Node => {
                let identity = deployment::identity(setup, router, start);
                Box::new(NodeRouter::new(Node::new(identity, seed)))
            }
        }
    }
}
