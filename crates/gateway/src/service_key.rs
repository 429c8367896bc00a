//! Key of a service.

/// Key of a service by which buffered bytes are counted: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);
