//! Order of a stream's tokens on their way to the caller.

/// What to do with a token that came from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Pass it on to the caller.
    Forward,
    /// Drop it: the caller has it already.
    Duplicate,
    /// Fail the attempt: tokens before it are missing.
    Gap,
    /// Fail the attempt: it came after the last token.
    AfterEnd,
}

/// Checks that a caller receives each token once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenSequencer {
    next: u32,
    ended: bool,
}

impl TokenSequencer {
    /// Starts a stream whose caller has `delivered` tokens already.
    pub fn new(delivered: u32) -> TokenSequencer {
        TokenSequencer {
            next: delivered,
            ended: false,
        }
    }

    /// Takes the token at `position` in; `last` marks the end of the stream.
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

    /// Returns the number of tokens that were passed on.
    pub fn delivered(&self) -> u32 {
        self.next
    }

    /// Tells whether the last token was passed on.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
