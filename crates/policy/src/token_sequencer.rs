//! Checks the order of a stream's tokens on their way to the caller.

/// What to do with a token received from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Forward it to the caller.
    Forward,
    /// Drop it: the caller has received it already.
    Duplicate,
    /// Fail the attempt: earlier tokens are missing.
    Gap,
    /// Fail the attempt: the token came after the last one.
    AfterEnd,
}

/// Ensures that a caller receives each token once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenSequencer {
    next: u32,
    ended: bool,
}

impl TokenSequencer {
    /// Creates a sequencer for a stream of which the caller has `delivered` tokens.
    pub fn new(delivered: u32) -> TokenSequencer {
        TokenSequencer {
            next: delivered,
            ended: false,
        }
    }

    /// Returns what to do with the token at `position`; `last` marks the last token of the stream.
    pub fn on_token(&mut self, position: u32, last: bool) -> TokenAction {
        if self.ended {
            return TokenAction::AfterEnd;
        }
        if position < self.next {
            return TokenAction::Duplicate;
        }
        if position > self.next {
            return TokenAction::Gap;
        }
        self.next += 1;
        self.ended = last;
        TokenAction::Forward
    }

    /// Returns the number of tokens forwarded to the caller, over all attempts.
    pub fn delivered(&self) -> u32 {
        self.next
    }

    /// Returns whether the last token was forwarded.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
