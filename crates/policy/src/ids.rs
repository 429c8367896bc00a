//! Identifiers and keys.

use serde::Deserialize;
use serde::Serialize;

/// Id of a call, unique within one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Number of an attempt within its call, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId(pub u32);

/// Id of a request to the platform's key-value service, unique within one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Index of a backend server or service replica in the table of a node.
///
/// Keys are never reused, so a key refers to the same server for the lifetime
/// of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

/// Incarnation of a VM or engine: grows with each start; 0 if unknown.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
