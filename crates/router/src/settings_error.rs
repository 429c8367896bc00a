//! Settings that can't be used.

use snafu::Snafu;

/// Settings that can't be used; shows in one line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: expected a readable file: {reason}"))]
    Unreadable {
        /// File.
        file: String,
        /// What the system said.
        reason: String,
    },
    /// The file is not JSON.
    #[snafu(display("{file}: expected JSON: {reason}"))]
    NotJson {
        /// File.
        file: String,
        /// What was wrong, with line and column.
        reason: String,
    },
    /// A field can't be used.
    #[snafu(display("{file}: {field}: {expected}"))]
    Field {
        /// File.
        file: String,
        /// Field, after the name of its section.
        field: String,
        /// What was expected.
        expected: String,
    },
}
