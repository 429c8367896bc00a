//! Structured log lines of `key=value` fields: one for each decision on a request,
//! each change of the cluster view, and each notable step of the process.

use std::fmt::Debug;
use std::fmt::Display;

use log::Level;

/// An event that is logged as one line, its `Display` output.
pub trait LogEvent: Display {
    /// Returns the log level of the line.
    fn level(&self) -> Level;

    /// Returns whether the line reports that a request was dispatched or served. Such
    /// lines are dropped first when the log buffer fills up.
    fn is_success(&self) -> bool {
        false
    }

    /// Logs the line if its level is enabled.
    fn write(&self) {
        let target = if self.is_success() {
            crate::log_sink::SUCCESS
        } else {
            module_path!()
        };
        log::log!(target: target, self.level(), "{self}");
    }
}

/// A value that is printed into a log line, such as an error or a peer's address.
pub trait LogValue: Display + Debug {}

impl<T> LogValue for T where T: Display + Debug + ?Sized {}
