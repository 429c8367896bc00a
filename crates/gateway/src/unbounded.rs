//! Parts of responses whose length isn't known before they end, so that a faulty server may send them forever.

/// A part of a response whose length isn't known before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnboundedPart {
    /// A body without a length.
    Body,
    /// An event of a stream whose end has not arrived.
    Event,
}

impl UnboundedPart {
    /// Number of variants.
    pub const COUNT: usize = 2;

    /// Returns the share of the buffers that all such parts may take together, in percent.
    pub fn percent(self) -> u64 {
        match self {
            UnboundedPart::Body => 25,
            UnboundedPart::Event => 10,
        }
    }

    /// Returns the size up to which such a part is accepted even if the share is used up, in bytes.
    pub fn small_bytes(self) -> u64 {
        match self {
            UnboundedPart::Body => 64 << 10,
            UnboundedPart::Event => 8 << 10,
        }
    }
}
