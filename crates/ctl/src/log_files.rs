//! Routers' logs from files or standard input.

use std::io::Read;
use std::path::PathBuf;

use snafu::ResultExt;

use crate::error::ReadLogSnafu;
use crate::LogLine;
use crate::Result;

/// Lines of several logs in the order of their times, and how many could not be read.
#[derive(Debug, Default)]
pub struct LogFiles {
    /// Lines.
    pub lines: Vec<LogLine>,
    /// Lines that are none of a router's log.
    pub unreadable: usize,
}

impl LogFiles {
    /// Reads files, or standard input if there are none. Bytes that are no text are replaced.
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

    /// Reads lines that are at hand.
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
