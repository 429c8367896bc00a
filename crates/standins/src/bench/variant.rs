//! Named policies to compare.

use policy::Node;
use policy::PlacementKind;
use policy::Settings;

use crate::bench::baseline::Baseline;
use crate::bench::baseline::Rule;
use crate::bench::deployment;
use crate::bench::router::NodeRouter;
use crate::bench::router::Router;
use crate::bench::setup::Setup;

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    /// A baseline policy.
    Baseline(Rule),
    /// The policy of the real routers, with these settings.
    Node(Settings),
}

/// Returns all policies with their names, in the order of the table.
pub fn variants() -> Vec<(&'static str, Variant)> {
    let current = Settings::default();
    let node = |placement| {
        Variant::Node(Settings {
            placement,
            ..current
        })
    };
    let plain = Settings {
        fetch: false,
        copy_price: 0.0,
        queue_price: 0.0,
        ..current
    };
    vec![
        ("random", Variant::Baseline(Rule::Random)),
        ("least_loaded", Variant::Baseline(Rule::LeastLoaded)),
        ("rendezvous", Variant::Baseline(Rule::Rendezvous)),
        ("affinity", node(PlacementKind::Affinity)),
        ("alone", node(PlacementKind::Alone)),
        ("cells_plain", Variant::Node(plain)),
        ("current", Variant::Node(current)),
        ("oracle", Variant::Baseline(Rule::Oracle)),
    ]
}

impl Variant {
    /// Creates the router with index `router` for one of its incarnations.
    pub fn router(
        self,
        setup: &Setup,
        router: usize,
        incarnation: u64,
        seed: u64,
    ) -> Box<dyn Router> {
        let seed = seed * 1_000 + router as u64 * 10 + incarnation;
        match self {
            Variant::Baseline(rule) => Box::new(Baseline::new(rule, setup.engines, seed)),
            Variant::Node(settings) => {
                let identity = deployment::identity(setup, router, incarnation);
                Box::new(NodeRouter::new(Node::with_settings(
                    identity, seed, settings,
                )))
            }
        }
    }
}
