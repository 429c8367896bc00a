//! Parts of prompts that requests share.

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text; equal texts have equal ids.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}
