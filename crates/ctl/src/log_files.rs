//! Reads router logs from files or standard input.

use std::io::Read;
use std::path::PathBuf;

use snafu::ResultExt;

use crate::error::ReadLogSnafu;
use crate::LogLine;
use crate::Result;

/// Lines of one or more router logs, merged in the order of time.
#[derive(Debug, Default)]
pub struct LogFiles {
    /// Parsed lines, sorted by time.
    pub lines: Vec<LogLine>,
    /// Number of lines that aren't log lines of a router.
    pub unreadable: usize,
}

impl LogFiles {
    /// Reads the files, or standard input if none is given. Invalid UTF-8 is replaced.
    pub fn read(files: &[PathBuf]) -> Result<LogFiles> {
        let mut logs = LogFiles::default();
        for file in files {
            let bytes = std::fs::read(file).context(ReadLogSnafu { file })?;
            logs.add_lines(&String::from_utf8_lossy(&bytes));
        }
        if files.is_empty() {
            let mut bytes = Vec::new();
            let file = PathBuf::from("standard input");
            std::io::stdin()
                .read_to_end(&mut bytes)
                .context(ReadLogSnafu { file })?;
            logs.add_lines(&String::from_utf8_lossy(&bytes));
        }
        logs.sort();
        Ok(logs)
    }

    /// Parses the lines of `text`.
    pub fn from_text(text: &str) -> LogFiles {
        let mut logs = LogFiles::default();
        logs.add_lines(text);
        logs.sort();
        logs
    }

    fn add_lines(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    fn sort(&mut self) {
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
    }
}
