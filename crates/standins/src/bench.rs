//! Simulation of routers and engines in virtual time, to compare routing policies.

mod attempts;
pub mod baseline;
pub mod cache;
pub mod deployment;
pub mod engine;
mod engine_reports;
pub mod measures;
mod oracle;
pub mod router;
pub mod setup;
pub mod store;
pub mod table;
pub mod variant;
pub mod wire_size;
pub mod workload;
pub mod world;
mod world_event;
mod world_faults;
