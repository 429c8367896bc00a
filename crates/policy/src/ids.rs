//! Small keys.

use serde::Deserialize;
use serde::Serialize;

/// A caller's request, unique within one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// An attempt of a call, counted from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId(pub u32);

/// A call to the platform's key-value service, unique within one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Index of a backend server or service replica in the arena of a node.
///
/// Keys are never given out again, so an old one names the same server for as
/// long as the node lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

/// Incarnation of a VM or engine; grows with each start, 0 when unknown.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
