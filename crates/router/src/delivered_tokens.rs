//! Texts of the tokens that a caller already has, which another attempt continues.

/// Texts of the tokens that a caller already has, in one buffer.
#[derive(Clone, Debug, Default)]
pub struct DeliveredTokens {
    text: String,
    /// Where each token ends in the text.
    ends: Vec<usize>,
}

impl DeliveredTokens {
    /// Returns how many tokens there are.
    pub fn len(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }

    /// Adds a token.
    pub fn push(&mut self, text: &str) {
        self.text.push_str(text);
        self.ends.push(self.text.len());
    }

    /// Returns the memory that one more token takes, in bytes; a buffer that is full doubles.
    pub fn push_bytes(text: &str) -> u64 {
        2 * (text.len() + size_of::<usize>()) as u64
    }

    /// Returns the text of each token.
    pub fn texts(&self) -> Vec<String> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        let ranges = starts.zip(self.ends.iter().copied());
        let texts = ranges.map(|(start, end)| self.text[start..end].to_owned());
        texts.collect()
    }

    /// Returns the memory that the request of another attempt takes for these tokens, in bytes: a text
    /// for each, and their JSON.
    pub fn request_bytes(&self) -> u64 {
        const TOKEN_BYTES: usize = 2 * size_of::<String>() + 16;
        (3 * self.text.len() + self.ends.len() * TOKEN_BYTES) as u64
    }
}
