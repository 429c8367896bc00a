//! Routers between small fakes, for the tests of this package.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod caller;
pub mod fake_engine;
pub mod fake_platform;
pub mod fake_service;
pub mod system;
