//! Small stand-ins for the outside systems, never shipped.

pub mod soak;
