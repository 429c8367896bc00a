//! Lines of the log: one of `key=value` fields for each decision that touches a
//! request, each change of belief, and each step of the process that matters.

use std::fmt::Debug;
use std::fmt::Display;

use log::Level;

/// Something that is worth a line; the line is what it displays.
pub trait LogEvent: Display {
    /// Returns how important the line is.
    fn level(&self) -> Level;

    /// Tells whether the line may be dropped first when there are too many.
    fn is_success(&self) -> bool {
        false
    }

    /// Writes the line, if its level is written at all.
    fn write(&self) {
        let target = if self.is_success() {
            crate::log_sink::SUCCESS
        } else {
            module_path!()
        };
        log::log!(target: target, self.level(), "{self}");
    }
}

/// A text that stands in a line, such as an error or a peer's address.
pub trait Reason: Display + Debug {}

impl<T> Reason for T where T: Display + Debug + ?Sized {}
