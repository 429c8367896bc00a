//! Positions in the platform's store.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// Bits of a fencing token below the era.
const FENCE_NUMBER_BITS: u32 = 44;

/// Version of the store's contents. The store numbers its changes, but when it comes back from an
/// older copy the numbers run back and are given out again. So a number counts only within its
/// era, and any revision of a later era is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store; grows each time it comes back from an older copy.
    pub era: u64,
    /// Number of the change within the era's numbering.
    pub number: u64,
}

impl Revision {
    /// Returns the fencing token of a lease term that began with this revision. Later terms have
    /// higher tokens, in whichever era.
    pub fn fencing_token(self) -> u64 {
        (self.era << FENCE_NUMBER_BITS) | self.number
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
