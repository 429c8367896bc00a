//! Starts routers against in-memory fakes of the services that they call.
#![allow(dead_code, reason = "each test target uses only part of this module")]

pub mod caller;
pub mod fake_engine;
pub mod fake_platform;
pub mod fake_service;
pub mod system;
