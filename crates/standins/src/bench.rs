//! Simulation of routers and engines in virtual time, to compare routing policies.

pub mod baseline;
pub mod cache;
pub mod deployment;
pub mod engine;
pub mod measures;
pub mod router;
pub mod setup;
pub mod store;
pub mod table;
pub mod variant;
pub mod wire_size;
pub mod workload;
pub mod world;
