//! Randomised simulation of several routers under faults, in virtual time.
//!
//! A run is determined by its seed. A ledger that shares no code with the routers
//! records what backend servers ran, what callers received and which configurations
//! routers applied, and reports violated guarantees.

mod backend_reports;
mod callers;
mod checks;
mod config;
mod crash_checks;
mod engine;
mod engine_events;
mod event_summary;
mod faults;
mod ledger;
mod network;
mod operators;
mod platform_events;
mod replica_events;
mod request;
mod router_actions;
mod router_checks;
mod router_vm;
mod routers;
mod scheduled_event;
mod settings;
mod store;
mod summary;
mod trace;
mod violation;
mod world;

pub use crate::soak::settings::Settings;
pub use crate::soak::summary::Summary;
pub use crate::soak::violation::Guarantee;
pub use crate::soak::violation::Violation;

use crate::soak::world::World;

/// Runs one simulation until it ends or violates a guarantee.
pub fn run(settings: Settings) -> Summary {
    let mut world = World::new(settings);
    world.run();
    world.summary()
}
