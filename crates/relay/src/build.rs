//! Versions of backend servers' software.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// A version of the software of a service's backend servers, as the hash of its name. Servers of
/// several builds may serve side by side. What two builds write doesn't fit together in one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Build(u64);

impl Build {
    /// Returns the build that a server names in its registration.
    pub fn new(name: &str) -> Build {
        Build(policy::name_hash(name))
    }

    /// Returns the build whose name has this hash.
    pub fn from_hash(hash: u64) -> Build {
        Build(hash)
    }
}

impl Display for Build {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
