//! What a backend server may send without end, as nothing announces where it ends.

/// Bytes of a response whose end nothing announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// A body without a length.
    Body,
    /// The part of an event of a stream that has arrived.
    Event,
}

impl Endless {
    /// Number of kinds.
    pub const COUNT: usize = 2;

    /// Returns the part of the buffers that all of a kind may take together, in percent.
    pub fn percent(self) -> u64 {
        match self {
            Endless::Body => 25,
            Endless::Event => 10,
        }
    }

    /// Returns the bytes up to which one is accepted whatever the others take.
    pub fn small_bytes(self) -> u64 {
        match self {
            Endless::Body => 64 << 10,
            Endless::Event => 8 << 10,
        }
    }
}
