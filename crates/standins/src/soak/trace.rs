//! Trace of a run.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hasher;

/// Lines that are kept when not all are.
const KEPT_LINES: usize = 400;

/// Trace of a run: a hash over all lines, and the last of them.
#[derive(Debug)]
pub(crate) struct Trace {
    hasher: DefaultHasher,
    lines: VecDeque<String>,
    keep_all: bool,
}

impl Trace {
    /// Starts an empty trace.
    pub(crate) fn new(keep_all: bool) -> Trace {
        Trace {
            hasher: DefaultHasher::new(),
            lines: VecDeque::new(),
            keep_all,
        }
    }

    /// Adds a line.
    pub(crate) fn add(&mut self, line: String) {
        self.hasher.write(line.as_bytes());
        self.lines.push_back(line);
        if !self.keep_all && self.lines.len() > KEPT_LINES {
            self.lines.pop_front();
        }
    }

    /// Returns the hash over all lines.
    pub(crate) fn hash(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the lines that were kept.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.iter().cloned().collect()
    }
}
