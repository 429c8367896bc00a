//! Trace of a run, to compare and to debug runs.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hasher;

/// Number of last lines that are kept unless all are.
const MAX_KEPT_LINES: usize = 400;

/// Trace of a run: a hash over all lines, and all or the last of them.
#[derive(Debug)]
pub(crate) struct Trace {
    hasher: DefaultHasher,
    lines: VecDeque<String>,
    keep_all: bool,
}

impl Trace {
    /// Creates an empty trace that keeps all lines or only the last ones.
    pub(crate) fn new(keep_all: bool) -> Trace {
        Trace {
            hasher: DefaultHasher::new(),
            lines: VecDeque::new(),
            keep_all,
        }
    }

    /// Appends a line.
    pub(crate) fn add(&mut self, line: String) {
        self.hasher.write(line.as_bytes());
        self.lines.push_back(line);
        if !self.keep_all && self.lines.len() > MAX_KEPT_LINES {
            self.lines.pop_front();
        }
    }

    /// Returns the hash over all lines.
    pub(crate) fn hash(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the kept lines, oldest first.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.iter().cloned().collect()
    }
}
