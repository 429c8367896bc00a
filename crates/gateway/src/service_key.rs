//! Key of a service.

/// A service whose requests are held: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);
