//! Why this router closes a connection of a caller.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

/// Why this router closes a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It was idle, brought nothing or took nothing for too long.
    NoProgress,
    /// What is held for it leaves no memory to others.
    NoMemory,
    /// There are too many connections.
    TooManyConnections,
}

impl CloseReason {
    /// Returns its name in logs, metrics and responses.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::NoProgress => "no_progress",
            CloseReason::NoMemory => "no_memory",
            CloseReason::TooManyConnections => "too_many_connections",
        }
    }
}

impl Display for CloseReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
