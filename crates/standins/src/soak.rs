//! A randomised run of several routers under faults, on virtual time.
//!
//! One seed decides everything. A ledger that shares no code with the routers
//! checks what backend servers ran, what callers received and which
//! configurations were in force.

mod backends;
mod callers;
mod checks;
mod config;
mod engine;
mod faults;
mod ledger;
mod network;
mod operators;
mod request;
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

/// Runs one seed to its end or to the first violation.
pub fn run(settings: Settings) -> Summary {
    let mut world = World::new(settings);
    world.run();
    world.summary()
}
